import type ModelSpec from './ModelSpec';

/** The properties that all engines of a pool share. */
interface EngineSpec {
  /** Memory of one engine for weights and adapters together. */
  readonly weightsMb: number;
  /** Number of adapters that one engine can hold. */
  readonly adapterSlots: number;
  /** Rate of loads that the weight store sustains, over all engines. */
  readonly maxStoreLoadsPerS: number;
  /** Models by name. */
  readonly models: ReadonlyMap<string, ModelSpec>;
}

export default EngineSpec;
