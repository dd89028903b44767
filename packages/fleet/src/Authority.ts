/** Says whether this instance may give orders now. */
interface Authority {
  /** Checked right before each order. */
  isHeld(): boolean;
  /** Whether orders may be given now or within `withinMs`. */
  isHeldWithin(withinMs: number): boolean;
  /** Increases with each change of the holder. */
  readonly fence: number;
  readonly holder: string;
}

export default Authority;
