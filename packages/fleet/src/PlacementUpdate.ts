/** The state of an engine as its placer knows it from its orders. */
interface PlacementUpdate {
  /** Id of the engine. */
  readonly target: string;
  /** Start of the engine, by the wall clock. */
  readonly bornMs: number;
  /** Increases with each update of one engine: `[fencing token of the sender, update number]`. */
  readonly stamp: readonly [number, number];
  /** Model that is being loaded. */
  readonly loading: string | null;
  /** Whether its weights come from the weight store; instances of an earlier build do not say. */
  readonly isFromStore?: boolean;
  /** Time until the change in progress is expected to end; 0 if there is none. */
  readonly busyForMs: number;
  /** Adapters by model. */
  readonly models: readonly (readonly [string, readonly string[]])[];
}

export default PlacementUpdate;
