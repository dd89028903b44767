import { ErrorKind, Ran, ServeError } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';

const NOT_RUN = new Set([ExchangeFailure.NotSent]);

/** The attempts at one request so far. */
class AttemptLog {
  private readonly failedTargets = new Set<string>();

  private maySomeHaveRun = false;

  private lastFailure: ExchangeFailure | undefined;

  /** Targets that failed and must not be tried again. */
  get failed(): ReadonlySet<string> {
    return this.failedTargets;
  }

  get count(): number {
    return this.failedTargets.size;
  }

  /** Whether a byte of the request can have reached a target. */
  get ran(): Ran {
    return this.maySomeHaveRun ? Ran.Unknown : Ran.No;
  }

  note(target: string, failure: ExchangeFailure): void {
    this.failedTargets.add(target);
    this.lastFailure = failure;
    this.maySomeHaveRun ||= !NOT_RUN.has(failure);
  }

  /** A refusal as it stands after these attempts. */
  qualify(error: ServeError): ServeError {
    if (!this.maySomeHaveRun) return error;
    return new ServeError(error.kind, error.message, Ran.Unknown, error.retryAfterMs);
  }

  /** The error to answer with when no attempt is left. */
  exhausted(): ServeError {
    const kind =
      this.lastFailure === ExchangeFailure.GivenUp
        ? ErrorKind.DeadlineExpired
        : ErrorKind.TargetFailed;
    const message = `the target's answer did not come (${this.lastFailure ?? 'no attempt'})`;
    return new ServeError(kind, message, this.ran);
  }
}

export default AttemptLog;
