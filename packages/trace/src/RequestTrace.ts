import type LogLine from './LogLine';
import type TraceEntry from './TraceEntry';

/** What the logs contain about one request. */
interface RequestTrace {
  /** The request's own lines, in chronological order. */
  readonly entries: readonly TraceEntry[];
  /** Log lines of orders for its model, of any instance, from 10 s before the request until its last line. */
  readonly orders: readonly LogLine[];
  readonly linesRead: number;
  /** Number of lines that are not complete lines of an instance's log. */
  readonly unreadableLines: number;
}

export default RequestTrace;
