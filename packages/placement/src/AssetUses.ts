import IdleGaps from './IdleGaps';

/** The idle gaps of every asset of a failure domain. */
class AssetUses {
  private readonly idleGaps = new Map<string, IdleGaps>();

  /** Records a use of each asset; `nowMs` is monotonic time. */
  recordUse(assetIds: readonly string[], nowMs: number): void {
    assetIds.forEach((id) => this.idleGapsOf(id).recordUse(nowMs));
  }

  /** Returns the idle gaps of an asset, which are empty until its first use. */
  idleGapsOf(assetId: string): IdleGaps {
    const known = this.idleGaps.get(assetId);
    if (known !== undefined) return known;
    const idleGaps = new IdleGaps();
    this.idleGaps.set(assetId, idleGaps);
    return idleGaps;
  }
}

export default AssetUses;
