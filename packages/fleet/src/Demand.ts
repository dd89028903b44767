/** The demand of one instance for a model or adapter: the requests that wait for it to be loaded. */
interface Demand {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string | null;
  /** Number of waiting requests, with those that were told lately to come back. */
  readonly waiting: number;
  /** Time that the oldest of them has waited. */
  readonly waitedMs: number;
  /** Latency target of the most urgent of them. */
  readonly latencyTargetMs: number;
  /** Time until the last of them can no longer be served; instances of an earlier build do not say. */
  readonly leftMs?: number;
  /** Priority of the most urgent of them, 0 first; only for deferring pools, and not from instances of an earlier build. */
  readonly priority?: number;
  /**
   * Least time by which the start of a load can be postponed before one of them loses something; negative if nothing can be gained
   * for any of them. Given together with `priority`.
   */
  readonly slackMs?: number;
}

export default Demand;
