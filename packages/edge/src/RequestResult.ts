import type { ServeError } from '@wisteriapath/model';

/** The result of a request: the response of a target, or an error of this system. */
interface RequestResult {
  /** `null` if the caller got the response of a target, or disconnected. */
  readonly error: ServeError | null;
  /** HTTP status of the response that was passed on; 0 if there is none. */
  readonly status: number;
  /** Number of attempts. */
  readonly sends: number;
  /** Number of targets that stated that they have not run the request. */
  readonly refusals: number;
  /** Time for which the request waited for targets. */
  readonly waitedMs: number;
  /** Id of the target of the last attempt; empty if there was none. */
  readonly lastTargetId: string;
}

export default RequestResult;
