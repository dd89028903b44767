import type { TargetView } from '@wisteriapath/fleet';
import type Passage from './Passage';

/** A target that a request has been given, together with its place there. */
interface ChosenTarget {
  readonly view: TargetView;
  readonly passage: Passage;
}

export default ChosenTarget;
