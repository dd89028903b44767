/** A parsed line of an instance's log. */
interface LogLine {
  /** Milliseconds since the epoch. */
  readonly timeMs: number;
  readonly instance: string;
  readonly event: string;
  /** The other fields, in the order in which they stand in the line. */
  readonly fields: Readonly<Record<string, string>>;
}

export default LogLine;
