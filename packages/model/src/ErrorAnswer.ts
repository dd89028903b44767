import type AnswerCode from './AnswerCode';

/** How one error kind is told to a caller. */
interface ErrorAnswer {
  readonly status: AnswerCode;
  /** Advised wait before a repeat; `null` where a repeat cannot help. */
  readonly retryAfterMs: number | null;
}

export default ErrorAnswer;
