import type ResponseFields from './ResponseFields';

/** The place that one request takes on a target, to be left once by `released` or `ended`. */
interface Passage {
  answered(fields: ResponseFields): void;
  /** Notes that bytes came. */
  heard(): void;
  /** Notes that no connection could be opened. */
  refused(): void;
  /** Leaves a place that was not used. */
  released(): void;
  ended(isFailure: boolean): void;
}

export default Passage;
