/** Separates the model from the adapter in the ID of an adapter. */
const ADAPTER_SEPARATOR = '/';

/** Limits the concurrent loads from the weight store to this failure domain's share. */
class LoadPermits {
  private readonly modelLoads = new Set<string>();

  private readonly adapterLoads = new Set<string>();

  constructor(
    private readonly maxModelLoads: number,
    private readonly maxAdapterLoads: number,
  ) {}

  /** Acquires a permit for a load from the remote tier. Returns false if none is left. */
  acquire(target: string, assetId: string): boolean {
    const isAdapter = assetId.includes(ADAPTER_SEPARATOR);
    const loads = isAdapter ? this.adapterLoads : this.modelLoads;
    const limit = isAdapter ? this.maxAdapterLoads : this.maxModelLoads;
    if (loads.size >= limit) return false;
    loads.add(`${target} ${assetId}`);
    return true;
  }

  /** Releases the permit of a load. Does nothing if the load has none. */
  release(target: string, assetId: string): void {
    this.modelLoads.delete(`${target} ${assetId}`);
    this.adapterLoads.delete(`${target} ${assetId}`);
  }
}

export default LoadPermits;
