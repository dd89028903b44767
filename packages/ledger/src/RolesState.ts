import type { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import type Tenure from './Tenure';

/** All roles as folded from the log. */
interface RolesState {
  readonly tenures: ImmutableMap<string, Tenure>;
  /** Incarnations that an operator vouched to be down. */
  readonly vouchedDown: ImmutableSet<string>;
}

export default RolesState;
