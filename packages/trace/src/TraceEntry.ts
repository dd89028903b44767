import type ViewEntry from './ViewEntry';
import type LogLine from './LogLine';

/** A log line of a request, and the view that its instance had when it wrote the line. */
interface TraceEntry {
  readonly line: LogLine;
  /** By topic. */
  readonly view: ReadonlyMap<string, ViewEntry>;
}

export default TraceEntry;
