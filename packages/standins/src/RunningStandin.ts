/** A started stand-in. */
interface RunningStandin {
  readonly url: string;
  /** What the stand-in did, as `/state` tells it. */
  state(): unknown;
  /** Switches a fault, as `/faults` does. */
  setFault(fault: object): void;
  close(): Promise<void>;
}

export default RunningStandin;
