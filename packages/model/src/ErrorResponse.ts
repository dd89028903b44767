import type HttpStatus from './HttpStatus';

/** The HTTP response to one kind of error. */
interface ErrorResponse {
  readonly status: HttpStatus;
  /** Recommended wait before a retry; `null` if a retry cannot succeed. */
  readonly retryAfterMs: number | null;
}

export default ErrorResponse;
