/** A record of a stream, as stored in the log. */
interface LogRecord {
  readonly offset: number;
  /** Wall-clock time at which the log accepted the record, in milliseconds. */
  readonly atMs: number;
  readonly payload: string;
}

export default LogRecord;
