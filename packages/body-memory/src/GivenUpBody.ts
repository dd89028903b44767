/** A body that had to give way to others. */
interface GivenUpBody {
  /** What it held. */
  readonly bytes: number;
  /** What all bodies held, with it. */
  readonly heldBytes: number;
  readonly limitBytes: number;
}

export default GivenUpBody;
