/** Options of the engine stand-in. */
interface EngineOptions {
  readonly port?: number;
  readonly memoryMb?: number;
  /** Requests at once that a warm engine bears. */
  readonly capacity?: number;
  /** Requests at once that a fresh engine bears. */
  readonly freshCapacity?: number;
  /** Finished requests after which an engine is warm. */
  readonly warmAfter?: number;
  /** Whether orders with a stale fencing number are refused. */
  readonly fencing?: boolean;
  /** Time for each generated token. */
  readonly tokenMs?: number;
  /** Time between the last event of an answer and the end of its body. */
  readonly endLagMs?: number;
  /** Load time from memory, for each model. */
  readonly memoryTierMs?: number;
  /** Load time from disk. */
  readonly diskTierMs?: number;
  /** Load time on top of the fetch from the weight store. */
  readonly remoteTierMs?: number;
  /** Models whose checkpoints lie in memory or on disk at the start. */
  readonly cached?: Readonly<Record<string, 'memory' | 'disk'>>;
  readonly weightStoreUrl?: string;
  /** Age of the load report. */
  readonly reportLagMs?: number;
}

export default EngineOptions;
