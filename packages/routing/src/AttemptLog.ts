import { type Clock, ErrorKind, Ran, ServeError } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';

/** Time for which a target that failed a request is passed over for it. */
const EXCLUSION_MS = 500;
const NOT_RUN = new Set([ExchangeFailure.NotSent]);

/** The attempts at one request so far. */
class AttemptLog {
  private readonly failedAtMs = new Map<string, number>();

  private failures = 0;

  private maySomeHaveRun = false;

  private lastFailure: ExchangeFailure | undefined;

  constructor(private readonly clock: Clock) {}

  /** Whether a target failed so lately that it is not tried again yet. */
  isExcluded(target: string): boolean {
    const failedAtMs = this.failedAtMs.get(target) ?? -Infinity;
    return this.clock.nowMs() - failedAtMs < EXCLUSION_MS;
  }

  /** Attempts that failed and count against the limit. */
  get count(): number {
    return this.failures;
  }

  /** Whether the last target refused the request without running it. */
  get wasRefused(): boolean {
    return this.lastFailure === ExchangeFailure.Refused;
  }

  /** Whether a byte of the request can have reached a target. */
  get ran(): Ran {
    return this.maySomeHaveRun ? Ran.Unknown : Ran.No;
  }

  note(target: string, failure: ExchangeFailure): void {
    this.failedAtMs.set(target, this.clock.nowMs());
    if (failure !== ExchangeFailure.Refused) this.failures += 1;
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
