/** Options of the log stand-in. */
interface LogOptions {
  readonly port?: number;
  /** Append calls a second that are taken. */
  readonly appendsPerS?: number;
  /** How long records are kept. */
  readonly retentionMs?: number;
}

export default LogOptions;
