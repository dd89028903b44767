/** One record of a stream as the log holds it. */
interface LogRecord {
  readonly offset: number;
  /** Wall-clock time at which the log took the record. */
  readonly atMs: number;
  readonly payload: string;
}

export default LogRecord;
