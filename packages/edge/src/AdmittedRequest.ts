import type { DesiredState, PathRoute, PoolSpec, WorkspaceSpec } from '@wisteriapath/fleet';
import type RequestFields from './RequestFields';

/** A request that may be carried out. */
interface AdmittedRequest {
  readonly state: DesiredState;
  readonly route: PathRoute;
  readonly pool: PoolSpec;
  readonly workspace: WorkspaceSpec | null;
  readonly fields: RequestFields;
  readonly body: Buffer;
  /** Identifies path, workspace and body over all attempts of callers. */
  readonly fingerprint: string;
  /** When the request must have its answer, on the monotonic clock. */
  readonly deadlineAtMs: number;
  /** When the caller gives up if no event of a stream has come. */
  readonly patienceAtMs: number;
}

export default AdmittedRequest;
