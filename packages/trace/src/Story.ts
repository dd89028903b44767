import type LogLine from './LogLine';
import type Step from './Step';

/** What the logs tell of one request. */
interface Story {
  /** The request's own lines, in the order of time. */
  readonly steps: readonly Step[];
  /** Orders for its model, by any instance, from shortly before it until it ended. */
  readonly orders: readonly LogLine[];
  readonly linesRead: number;
  /** Lines that could not be read. */
  readonly badLines: number;
}

export default Story;
