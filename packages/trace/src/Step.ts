import type Belief from './Belief';
import type LogLine from './LogLine';

/** A line of a request's story, and what its instance believed when it wrote it. */
interface Step {
  readonly line: LogLine;
  readonly beliefs: ReadonlyMap<string, Belief>;
}

export default Step;
