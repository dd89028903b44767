import type { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import type Tenure from './Tenure';

/** The state of all roles, folded from the log. */
interface RolesState {
  /** Latest tenure by role. */
  readonly tenures: ImmutableMap<string, Tenure>;
  /** Incarnations that an operator confirmed to be down. */
  readonly vouchedDown: ImmutableSet<string>;
}

export default RolesState;
