import type CallerLimits from './CallerLimits';
import type PathRoute from './PathRoute';
import type PoolSpec from './PoolSpec';
import type WorkspaceSpec from './WorkspaceSpec';

/** One complete version of the configuration that the operator wants. */
interface DesiredState {
  readonly version: number;
  readonly routes: readonly PathRoute[];
  /** Pools by name. */
  readonly pools: ReadonlyMap<string, PoolSpec>;
  /** `null` if requests carry no keys. */
  readonly workspaces: readonly WorkspaceSpec[] | null;
  readonly limits: CallerLimits;
}

export default DesiredState;
