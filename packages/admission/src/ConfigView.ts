import type { ConfigState } from '@wisteriapath/config';

/** This instance's view of the configuration, and the age of the view. */
interface ConfigView {
  readonly state: ConfigState;
  /** Time since the view was last known to be complete. */
  readonly ageMs: number;
}

export default ConfigView;
