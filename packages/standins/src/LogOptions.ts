/** Options of the log stand-in. */
interface LogOptions {
  readonly port?: number;
  /** Limit on append requests in a second; further ones get 429. */
  readonly appendsPerS?: number;
  /** Time after which records expire. */
  readonly retentionMs?: number;
}

export default LogOptions;
