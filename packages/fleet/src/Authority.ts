/** The right to send engine orders, held by one instance of a failure domain at a time. */
interface Authority {
  /** Whether orders may be sent now. Checked right before each order. */
  isHeld(): boolean;
  /** Whether orders may be sent now or will be allowed within `withinMs`. */
  isHeldWithin(withinMs: number): boolean;
  /** Fencing token. Increases with each change of the holder, also when the store comes back from an older copy. */
  readonly fence: number;
  /** Notes that an engine refused a fencing token as it has seen a higher one; the authority of that token ends. */
  observeFenced(fence: number): void;
  /** Name of the machine that this authority belongs to. */
  readonly holder: string;
}

export default Authority;
