import { type Clock, ErrorKind, ExecutionStatus, ServeError } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';

/** Time for which a target that failed a request is not tried again for it. */
const TARGET_EXCLUSION_MS = 500;
/** Failures in which no byte of the request can have reached the target. */
const UNSENT_FAILURES = new Set([ExchangeFailure.NotSent]);

/** The failed attempts at one request. */
class AttemptLog {
  private readonly failedAtMs = new Map<string, number>();

  private failures = 0;

  private mayHaveReachedTarget = false;

  private lastFailure: ExchangeFailure | undefined;

  constructor(private readonly clock: Clock) {}

  /** Returns whether a target failed too recently to be tried again. */
  isExcluded(target: string): boolean {
    const failedAtMs = this.failedAtMs.get(target) ?? -Infinity;
    return this.clock.nowMs() - failedAtMs < TARGET_EXCLUSION_MS;
  }

  /** Number of failed attempts that count against the limit; refused ones do not. */
  get failureCount(): number {
    return this.failures;
  }

  /** Whether the last target refused the request without running it. */
  get wasRefused(): boolean {
    return this.lastFailure === ExchangeFailure.Refused;
  }

  /** Whether any byte of the request can have reached a target. */
  get ran(): ExecutionStatus {
    return this.mayHaveReachedTarget ? ExecutionStatus.Unknown : ExecutionStatus.NotExecuted;
  }

  /** Records a failed attempt. */
  recordFailure(target: string, failure: ExchangeFailure): void {
    this.failedAtMs.set(target, this.clock.nowMs());
    if (failure !== ExchangeFailure.Refused) this.failures += 1;
    this.lastFailure = failure;
    this.mayHaveReachedTarget ||= !UNSENT_FAILURES.has(failure);
  }

  /** Returns the error, with `ran` unknown if an attempt may have reached a target. */
  withExecutionState(error: ServeError): ServeError {
    if (!this.mayHaveReachedTarget) return error;
    return new ServeError(error.kind, error.message, ExecutionStatus.Unknown, error.retryAfterMs);
  }

  /** Returns the error for the caller when no attempt is left. */
  finalError(): ServeError {
    const kind =
      this.lastFailure === ExchangeFailure.Aborted
        ? ErrorKind.DeadlineExpired
        : ErrorKind.TargetFailed;
    const message = `no target returned a complete response (${this.lastFailure ?? 'no attempt'})`;
    return new ServeError(kind, message, this.ran);
  }
}

export default AttemptLog;
