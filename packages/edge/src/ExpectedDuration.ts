import type DurationSource from './DurationSource';

/** How long a request is expected to take from now on until its whole answer. */
interface ExpectedDuration {
  readonly durationMs: number;
  readonly source: DurationSource;
}

export default ExpectedDuration;
