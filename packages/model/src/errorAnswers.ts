import AnswerCode from './AnswerCode';
import type ErrorAnswer from './ErrorAnswer';
import ErrorKind from './ErrorKind';

const SOON_MS = 200;
const LATER_MS = 1_000;
const NEVER = null;

/** The answer to each error kind. */
const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.BadRequest]: { status: AnswerCode.BadRequest, retryAfterMs: NEVER },
  [ErrorKind.Unauthenticated]: { status: AnswerCode.Unauthorized, retryAfterMs: NEVER },
  [ErrorKind.KeysStale]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.Forbidden]: { status: AnswerCode.Forbidden, retryAfterMs: NEVER },
  [ErrorKind.UnknownRoute]: { status: AnswerCode.NotFound, retryAfterMs: NEVER },
  [ErrorKind.RouteIncomplete]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.BodyTooLarge]: { status: AnswerCode.TooLarge, retryAfterMs: NEVER },
  [ErrorKind.DeadlineExpired]: { status: AnswerCode.GatewayTimeout, retryAfterMs: SOON_MS },
  [ErrorKind.CannotFit]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.OverRate]: { status: AnswerCode.TooManyRequests, retryAfterMs: LATER_MS },
  [ErrorKind.BudgetUnavailable]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.NoTarget]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.PlacementUnavailable]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.TargetFailed]: { status: AnswerCode.BadGateway, retryAfterMs: SOON_MS },
  [ErrorKind.Quarantined]: { status: AnswerCode.Unprocessable, retryAfterMs: NEVER },
  [ErrorKind.LogUnavailable]: { status: AnswerCode.Unavailable, retryAfterMs: LATER_MS },
  [ErrorKind.ClaimInProgress]: { status: AnswerCode.Conflict, retryAfterMs: LATER_MS },
  [ErrorKind.OutcomeUnknown]: { status: AnswerCode.BadGateway, retryAfterMs: NEVER },
  [ErrorKind.KeyReused]: { status: AnswerCode.Unprocessable, retryAfterMs: NEVER },
  [ErrorKind.VersionRequired]: { status: AnswerCode.PreconditionRequired, retryAfterMs: NEVER },
  [ErrorKind.VersionConflict]: { status: AnswerCode.PreconditionFailed, retryAfterMs: NEVER },
  [ErrorKind.InvalidRow]: { status: AnswerCode.Unprocessable, retryAfterMs: NEVER },
  [ErrorKind.NotFound]: { status: AnswerCode.NotFound, retryAfterMs: NEVER },
  [ErrorKind.EditUnknown]: { status: AnswerCode.GatewayTimeout, retryAfterMs: LATER_MS },
  [ErrorKind.Stopping]: { status: AnswerCode.Unavailable, retryAfterMs: SOON_MS },
  [ErrorKind.Internal]: { status: AnswerCode.Internal, retryAfterMs: NEVER },
};

export default errorAnswers;
