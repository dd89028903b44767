import type LogRecord from './LogRecord';

/** Answer to a read. */
interface LogBatch {
  /** Offset of the oldest record still kept. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

export default LogBatch;
