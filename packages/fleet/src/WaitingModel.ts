/** A model that requests wait for, also those for its adapters, and that no engine holds. */
interface WaitingModel {
  readonly model: string;
  /** Time that the oldest of the requests has waited. */
  readonly waitedMs: number;
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
