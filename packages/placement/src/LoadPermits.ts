const ADAPTER_MARK = '/';

/** This failure domain's part of what the weight store bears. */
class LoadPermits {
  private readonly models = new Set<string>();

  private readonly adapters = new Set<string>();

  constructor(
    private readonly modelLimit: number,
    private readonly adapterLimit: number,
  ) {}

  /** Takes a permit for a load from the remote tier; false if none is left. */
  acquire(target: string, assetId: string): boolean {
    const isAdapter = assetId.includes(ADAPTER_MARK);
    const taken = isAdapter ? this.adapters : this.models;
    const limit = isAdapter ? this.adapterLimit : this.modelLimit;
    if (taken.size >= limit) return false;
    taken.add(`${target} ${assetId}`);
    return true;
  }

  release(target: string, assetId: string): void {
    this.models.delete(`${target} ${assetId}`);
    this.adapters.delete(`${target} ${assetId}`);
  }
}

export default LoadPermits;
