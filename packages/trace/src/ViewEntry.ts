/** One thing that an instance knew about the system. */
interface ViewEntry {
  readonly text: string;
  /** Time of the log line that set it, in milliseconds since the epoch. */
  readonly sinceMs: number;
}

export default ViewEntry;
