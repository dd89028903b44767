import type LogRecord from './LogRecord';

/** Response to a read. */
interface LogBatch {
  /** Offset of the oldest record that the log retains. */
  readonly firstOffset: number;
  /** Offset of the next record to be appended. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

export default LogBatch;
