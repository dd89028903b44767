/** A running stand-in. */
interface RunningStandin {
  readonly url: string;
  /** Returns the counters and contents of the stand-in, as `/state` does. */
  state(): unknown;
  /** Injects a fault, as `/faults` does. */
  setFault(fault: object): void;
  close(): Promise<void>;
}

export default RunningStandin;
