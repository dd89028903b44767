/** What `compareWaiting` compares of waiting work at one moment. */
interface RankedWork {
  /** 0 is the highest. */
  readonly priority: number;
  /** See `slackMs`. */
  readonly slackMs: number;
  /** Time for which the work, or other work for the same thing, has waited in vain. */
  readonly waitedMs: number;
  /** Value that a start now keeps, per millisecond of engine time. */
  readonly valuePerMs: number;
}

export default RankedWork;
