import HttpStatus from './HttpStatus';
import type ErrorResponse from './ErrorResponse';
import ErrorKind from './ErrorKind';

const SHORT_RETRY_MS = 200;
const LONG_RETRY_MS = 1_000;
const NO_RETRY = null;

/** The HTTP response to each kind of error. */
const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.BadRequest]: { status: HttpStatus.BadRequest, retryAfterMs: NO_RETRY },
  [ErrorKind.Unauthenticated]: { status: HttpStatus.Unauthorized, retryAfterMs: NO_RETRY },
  [ErrorKind.KeysStale]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.Forbidden]: { status: HttpStatus.Forbidden, retryAfterMs: NO_RETRY },
  [ErrorKind.UnknownRoute]: { status: HttpStatus.NotFound, retryAfterMs: NO_RETRY },
  [ErrorKind.RouteIncomplete]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.BodyTooLarge]: { status: HttpStatus.TooLarge, retryAfterMs: NO_RETRY },
  [ErrorKind.MemoryExhausted]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.DeadlineExpired]: { status: HttpStatus.GatewayTimeout, retryAfterMs: SHORT_RETRY_MS },
  [ErrorKind.CannotFit]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.OverRate]: { status: HttpStatus.TooManyRequests, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.BudgetUnavailable]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.NoTarget]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.PlacementUnavailable]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.TargetFailed]: { status: HttpStatus.BadGateway, retryAfterMs: SHORT_RETRY_MS },
  [ErrorKind.Quarantined]: { status: HttpStatus.Unprocessable, retryAfterMs: NO_RETRY },
  [ErrorKind.CrashSuspected]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.LogUnavailable]: { status: HttpStatus.Unavailable, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.ClaimInProgress]: { status: HttpStatus.Conflict, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.OutcomeUnknown]: { status: HttpStatus.BadGateway, retryAfterMs: NO_RETRY },
  [ErrorKind.KeyReused]: { status: HttpStatus.Unprocessable, retryAfterMs: NO_RETRY },
  [ErrorKind.VersionRequired]: { status: HttpStatus.PreconditionRequired, retryAfterMs: NO_RETRY },
  [ErrorKind.VersionConflict]: { status: HttpStatus.PreconditionFailed, retryAfterMs: NO_RETRY },
  [ErrorKind.InvalidRow]: { status: HttpStatus.Unprocessable, retryAfterMs: NO_RETRY },
  [ErrorKind.NotFound]: { status: HttpStatus.NotFound, retryAfterMs: NO_RETRY },
  [ErrorKind.EditUnknown]: { status: HttpStatus.GatewayTimeout, retryAfterMs: LONG_RETRY_MS },
  [ErrorKind.Stopping]: { status: HttpStatus.Unavailable, retryAfterMs: SHORT_RETRY_MS },
  [ErrorKind.Internal]: { status: HttpStatus.Internal, retryAfterMs: NO_RETRY },
};

export default errorResponses;
