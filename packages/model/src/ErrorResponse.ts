import type HttpStatus from './HttpStatus';

/** How one error kind is told to a caller. */
interface ErrorResponse {
  readonly status: HttpStatus;
  /** Advised wait before a repeat; `null` where a repeat cannot help. */
  readonly retryAfterMs: number | null;
}

export default ErrorResponse;
