import type { Clock } from '@wisteriapath/model';
import type Asset from './Asset';
import type MemoryReservation from './MemoryReservation';
import AssetPhase from './AssetPhase';
import type LoadReport from './LoadReport';

/** Sequence that no report can reflect yet. */
const NOT_SENT = Infinity;
const ADOPTED = 0;

/**
 * What one engine's memory is charged with: from the decision to load until the engine confirms the
 * unload. An order of unknown outcome is charged as if it had taken effect.
 */
class MemoryReservations {
  private charges = new Map<string, MemoryReservation>();

  constructor(
    private readonly limitMb: number,
    private readonly clock: Clock,
  ) {}

  phaseOf(assetId: string): AssetPhase | undefined {
    return this.charges.get(assetId)?.phase;
  }

  all(): readonly MemoryReservation[] {
    return [...this.charges.values()];
  }

  /** What is loaded on top of a replica, then the replica itself. */
  withAdapters(charge: MemoryReservation): readonly MemoryReservation[] {
    const adapters = this.all().filter(({ asset }) => asset.id.startsWith(`${charge.asset.id}/`));
    return [...adapters, charge];
  }

  areInPhase(assetIds: readonly string[], phases: readonly AssetPhase[]): boolean {
    return assetIds.every((id) => {
      const phase = this.phaseOf(id);
      return phase !== undefined && phases.includes(phase);
    });
  }

  /** Memory left once every decided unload is confirmed. */
  plannedFreeMb(): number {
    return this.limitMb - this.sumMb((charge) => charge.phase !== AssetPhase.Unloading);
  }

  /** Whether a decided load fits beside everything that may be in the engine now. */
  fitsNow(asset: Asset): boolean {
    const present = this.sumMb(
      (charge) => charge.phase !== AssetPhase.Decided && charge.asset.id !== asset.id,
    );
    return present + asset.sizeMb <= this.limitMb;
  }

  reserve(asset: Asset): void {
    this.set(asset, AssetPhase.Decided, NOT_SENT);
  }

  /** Notes that the load order is about to be sent. */
  markLoading(asset: Asset, sequence: number): void {
    this.set(asset, AssetPhase.Loading, sequence);
  }

  markUnloading(asset: Asset, sequence: number): void {
    this.set(asset, AssetPhase.Unloading, sequence);
  }

  /** Drops a decided load that was given up before its order was sent. */
  cancelDecided(assetId: string): void {
    if (this.phaseOf(assetId) === AssetPhase.Decided) this.charges.delete(assetId);
  }

  /** The engine lost its state: only what has not been sent yet stays charged. */
  dropSent(): void {
    this.charges.forEach((charge, id) => {
      if (charge.phase !== AssetPhase.Decided) this.charges.delete(id);
    });
  }

  /** Takes in a report; answers with assets that were expected in it and are not there. */
  applyReport(report: LoadReport): readonly Asset[] {
    const missing: Asset[] = [];
    const reported = new Map(report.assets.map((asset) => [asset.id, asset]));
    this.charges.forEach((charge, id) => {
      if (report.lastOrder.sequence < charge.sequence) return;
      const seen = reported.get(id);
      if (seen === undefined) {
        this.charges.delete(id);
        if (charge.phase !== AssetPhase.Unloading) missing.push(charge.asset);
      } else if (seen.ready && charge.phase === AssetPhase.Loading) {
        this.set(charge.asset, AssetPhase.Ready, charge.sequence);
      }
    });
    report.assets.forEach(({ id, sizeMb, ready }) => {
      if (this.charges.has(id)) return;
      const phase = ready ? AssetPhase.Ready : AssetPhase.Loading;
      this.set({ id, sizeMb }, phase, ADOPTED);
    });
    return missing;
  }

  private set(asset: Asset, phase: AssetPhase, sequence: number): void {
    this.charges.set(asset.id, { asset, phase, sequence, phaseSinceMs: this.clock.nowMs() });
  }

  private sumMb(counts: (charge: MemoryReservation) => boolean): number {
    return this.all()
      .filter(counts)
      .reduce((sum, charge) => sum + charge.asset.sizeMb, 0);
  }
}

export default MemoryReservations;
