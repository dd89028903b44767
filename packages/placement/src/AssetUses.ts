import IdleGaps from './IdleGaps';

/** The uses of every asset in a failure domain. */
class AssetUses {
  private readonly gaps = new Map<string, IdleGaps>();

  use(assetIds: readonly string[], nowMs: number): void {
    assetIds.forEach((id) => this.of(id).use(nowMs));
  }

  of(assetId: string): IdleGaps {
    const known = this.gaps.get(assetId);
    if (known !== undefined) return known;
    const gaps = new IdleGaps();
    this.gaps.set(assetId, gaps);
    return gaps;
  }
}

export default AssetUses;
