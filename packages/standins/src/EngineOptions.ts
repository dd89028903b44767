/** Options of the engine stand-in. */
interface EngineOptions {
  readonly port?: number;
  /** Memory for models and adapters; a load beyond it counts as an overcommit. */
  readonly memoryMb?: number;
  /** Concurrent requests that a warm engine can handle; it restarts above. */
  readonly capacity?: number;
  /** Concurrent requests that a newly started engine can handle. */
  readonly freshCapacity?: number;
  /** Number of finished requests after which an engine is warm. */
  readonly warmAfter?: number;
  /** Whether orders with a stale fencing token are refused. */
  readonly fencing?: boolean;
  /** Time to generate each token. */
  readonly tokenMs?: number;
  /** Delay between the last event of a response and the end of its body. */
  readonly endLagMs?: number;
  /** Time to load a model or adapter from host memory. */
  readonly memoryTierMs?: number;
  /** Time to load a model or adapter from disk. */
  readonly diskTierMs?: number;
  /** Time to load a model or adapter in addition to its fetch from the weight store. */
  readonly remoteTierMs?: number;
  /** Assets whose checkpoints are in host memory or on disk initially. */
  readonly cached?: Readonly<Record<string, 'memory' | 'disk'>>;
  /** Base URL of the weight store; empty for loads without a fetch. */
  readonly weightStoreUrl?: string;
  /** Interval at which the load report is refreshed; 0 for a report that is always current. */
  readonly reportLagMs?: number;
}

export default EngineOptions;
