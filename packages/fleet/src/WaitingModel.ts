/** A model that requests wait for, also those for its adapters, and that no engine holds. */
interface WaitingModel {
  readonly model: string;
  /** Time that the oldest of the requests has waited. */
  readonly waitedMs: number;
  /** Latency target of the most urgent of the requests. */
  readonly latencyTargetMs: number;
  /** Time until the last of the requests can no longer be served. */
  readonly leftMs: number;
  /** What a load of it is worth, see `loadWorth`. */
  readonly worth: number;
  /** Whether nothing is lost soon if its load is postponed; false in pools that are not deferring. */
  readonly canWait: boolean;
  /** Priority and slack of its most urgent requests; `null` in pools that are not deferring. */
  readonly order: { readonly priority: number; readonly slackMs: number } | null;
  /** Whether no engine has a copy of it. */
  readonly isFromStore: boolean;
}

export default WaitingModel;
