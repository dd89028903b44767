import type TokenCounts from './TokenCounts';

/** What is kept of a request beside how long its answer took. */
interface AnsweredRequest extends TokenCounts {
  readonly pool: string;
  readonly route: string;
  /** Empty where the request names no model. */
  readonly model: string;
}

export default AnsweredRequest;
