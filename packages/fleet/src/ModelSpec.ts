/** A model that the engines of a pool can load. */
interface ModelSpec {
  readonly name: string;
  readonly sizeMb: number;
  readonly adapterSizeMb: number;
  /** Load time from the weight store. */
  readonly storeLoadMs: number;
  /** Load time from the engine's own disk. */
  readonly diskLoadMs: number;
  /** Load time from the engine's host memory. */
  readonly memoryLoadMs: number;
}

export default ModelSpec;
