import type ModelSpec from './ModelSpec';

/** What the engines of a pool have in common. */
interface EngineSpec {
  /** Memory for weights and adapters together. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Loads that the weight store bears, over all engines. */
  readonly maxStoreLoadsPerS: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
}

export default EngineSpec;
