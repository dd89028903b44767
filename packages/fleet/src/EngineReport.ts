/** The state that an engine reports on request. */
interface EngineReport {
  /** Whether the engine is carrying out an order. */
  readonly isBusy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orderCount: number;
  /** Loaded adapters by loaded model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** Number of running requests. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
}

export default EngineReport;
