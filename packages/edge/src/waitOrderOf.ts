import {
  type DesiredState,
  deferringPools,
  type PathRoute,
  type WorkspaceSpec,
} from '@wisteriapath/fleet';
import { deferrableLatencyTargetMs } from '@wisteriapath/scheduling';
import type WaitOrder from './WaitOrder';

interface Request {
  readonly pool: string;
  readonly route: PathRoute;
  readonly workspace: WorkspaceSpec | null;
}

/**
 * Returns how a request ranks among those that wait; undefined in pools that are not deferring. The priority of the workspace takes
 * precedence over that of the route.
 *
 * @example
 * const order = waitOrderOf(state, { pool: pool.name, route, workspace });
 */
const waitOrderOf = (
  state: DesiredState,
  { pool, route, workspace }: Request,
): WaitOrder | undefined => {
  const mostUrgent = deferringPools(state).get(pool);
  if (mostUrgent === undefined) return undefined;
  const priority = workspace?.priority ?? route.priority;
  const isDeferrable = route.latencyTargetMs >= deferrableLatencyTargetMs && priority > mostUrgent;
  return { priority, isDeferrable };
};

export default waitOrderOf;
