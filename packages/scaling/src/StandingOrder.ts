/** An order for a number of engines that has not been replaced by another one. */
interface StandingOrder {
  readonly count: number;
  /** When it was first sent. */
  readonly atMs: number;
}

export default StandingOrder;
