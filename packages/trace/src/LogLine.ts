/** One line of an instance's log. */
interface LogLine {
  readonly timeMs: number;
  readonly instance: string;
  readonly event: string;
  /** The other fields, in the order of the line. */
  readonly fields: Readonly<Record<string, string>>;
}

export default LogLine;
