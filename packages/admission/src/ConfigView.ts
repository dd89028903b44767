import type { ConfigState } from '@wisteriapath/config';

/** The configuration as this instance knows it, and how old that knowledge is. */
interface ConfigView {
  readonly state: ConfigState;
  /** Time since the view is known to have been complete. */
  readonly ageMs: number;
}

export default ConfigView;
