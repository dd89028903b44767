import type { DesiredState, PathRoute, PoolSpec, WorkspaceSpec } from '@wisteriapath/fleet';
import type RequestFields from './RequestFields';
import type WaitOrder from './WaitOrder';

/** A request that has passed authorization and limits. */
interface AdmittedRequest {
  /** The desired state in force when the request was admitted. */
  readonly state: DesiredState;
  readonly route: PathRoute;
  readonly pool: PoolSpec;
  /** The workspace that owns the key; `null` if the key is unknown and the route needs none. */
  readonly workspace: WorkspaceSpec | null;
  readonly fields: RequestFields;
  readonly body: Buffer;
  /** What is suspected if a target crashes under the request. */
  readonly traits: readonly string[];
  /** Time by which the request must be answered, on the monotonic clock. */
  readonly deadlineAtMs: number;
  /** Time at which the caller gives up if no event of a stream has arrived, on the monotonic clock. */
  readonly firstEventDeadlineAtMs: number;
  /** How it ranks among the requests that wait; undefined in pools that are not deferring. */
  readonly waitOrder: WaitOrder | undefined;
}

export default AdmittedRequest;
