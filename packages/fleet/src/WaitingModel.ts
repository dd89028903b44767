/** A model that requests wait for, also those for its adapters, and that no engine holds. */
interface WaitingModel {
  readonly model: string;
  /** Time that the oldest of the requests has waited. */
  readonly waitedMs: number;
  /** What a load of it is worth, see `loadWorth`. */
  readonly worth: number;
  /** Whether no engine has a copy of it. */
  readonly isFromStore: boolean;
}

export default WaitingModel;
