import IdleGaps from './IdleGaps';

/** The uses of every asset in a failure domain. */
class AssetUses {
  private readonly gaps = new Map<string, IdleGaps>();

  recordUse(assetIds: readonly string[], nowMs: number): void {
    assetIds.forEach((id) => this.idleGapsOf(id).recordUse(nowMs));
  }

  idleGapsOf(assetId: string): IdleGaps {
    const known = this.gaps.get(assetId);
    if (known !== undefined) return known;
    const gaps = new IdleGaps();
    this.gaps.set(assetId, gaps);
    return gaps;
  }
}

export default AssetUses;
