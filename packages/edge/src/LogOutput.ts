/** Where the lines of a log go. A write never blocks the thread that calls it. */
interface LogOutput {
  /** Whether the process does not end in order while a write is in progress. */
  readonly holdsExit?: boolean;

  /**
   * Writes bytes, and calls back with the number of bytes that were taken: fewer than all, or none, if there is no room for
   * more now. Calls back with an error if the bytes are lost.
   */
  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void;
}

export default LogOutput;
