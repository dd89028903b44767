/** A model that requests wait for, also those for its adapters. */
interface WaitingModel {
  readonly model: string;
  /** Time that the oldest of the requests has waited. */
  readonly waitedMs: number;
  /** What a load of it is worth, see `loadWorth`. */
  readonly worth: number;
  /** Whether no engine has a copy of it. */
  readonly isFromStore: boolean;
  /** Whether an engine holds it already; the instances that wait may not know yet. */
  readonly isHeld: boolean;
}

export default WaitingModel;
