import type { Clock } from '@wisteriapath/model';
import type Asset from './Asset';
import type Charge from './Charge';
import ChargePhase from './ChargePhase';
import type LoadReport from './LoadReport';

/** Sequence that no report can reflect yet. */
const NOT_SENT = Infinity;
const ADOPTED = 0;

/**
 * What one engine's memory is charged with: from the decision to load until the engine confirms the
 * unload. An order of unknown outcome is charged as if it had taken effect.
 */
class MemoryBook {
  private charges = new Map<string, Charge>();

  constructor(
    private readonly limitMb: number,
    private readonly clock: Clock,
  ) {}

  phase(assetId: string): ChargePhase | undefined {
    return this.charges.get(assetId)?.phase;
  }

  all(): readonly Charge[] {
    return [...this.charges.values()];
  }

  /** What is loaded on top of a replica, then the replica itself. */
  withAdapters(charge: Charge): readonly Charge[] {
    const adapters = this.all().filter(({ asset }) => asset.id.startsWith(`${charge.asset.id}/`));
    return [...adapters, charge];
  }

  has(assetIds: readonly string[], phases: readonly ChargePhase[]): boolean {
    return assetIds.every((id) => {
      const phase = this.phase(id);
      return phase !== undefined && phases.includes(phase);
    });
  }

  /** Memory left once every decided unload is confirmed. */
  plannedFreeMb(): number {
    return this.limitMb - this.sumMb((charge) => charge.phase !== ChargePhase.Unloading);
  }

  /** Whether a decided load fits beside everything that may be in the engine now. */
  fitsNow(asset: Asset): boolean {
    const present = this.sumMb(
      (charge) => charge.phase !== ChargePhase.Decided && charge.asset.id !== asset.id,
    );
    return present + asset.sizeMb <= this.limitMb;
  }

  decide(asset: Asset): void {
    this.set(asset, ChargePhase.Decided, NOT_SENT);
  }

  /** Notes that the load order is about to be sent. */
  sending(asset: Asset, sequence: number): void {
    this.set(asset, ChargePhase.Loading, sequence);
  }

  unloading(asset: Asset, sequence: number): void {
    this.set(asset, ChargePhase.Unloading, sequence);
  }

  /** Drops a decided load that was given up before its order was sent. */
  forgetDecided(assetId: string): void {
    if (this.phase(assetId) === ChargePhase.Decided) this.charges.delete(assetId);
  }

  /** The engine lost its state: only what has not been sent yet stays charged. */
  lost(): void {
    this.charges.forEach((charge, id) => {
      if (charge.phase !== ChargePhase.Decided) this.charges.delete(id);
    });
  }

  /** Takes in a report; answers with assets that were expected in it and are not there. */
  absorb(report: LoadReport): readonly Asset[] {
    const missing: Asset[] = [];
    const reported = new Map(report.assets.map((asset) => [asset.id, asset]));
    this.charges.forEach((charge, id) => {
      if (report.lastOrder.sequence < charge.sequence) return;
      const seen = reported.get(id);
      if (seen === undefined) {
        this.charges.delete(id);
        if (charge.phase !== ChargePhase.Unloading) missing.push(charge.asset);
      } else if (seen.ready && charge.phase === ChargePhase.Loading) {
        this.set(charge.asset, ChargePhase.Ready, charge.sequence);
      }
    });
    report.assets.forEach(({ id, sizeMb, ready }) => {
      if (this.charges.has(id)) return;
      const phase = ready ? ChargePhase.Ready : ChargePhase.Loading;
      this.set({ id, sizeMb }, phase, ADOPTED);
    });
    return missing;
  }

  private set(asset: Asset, phase: ChargePhase, sequence: number): void {
    this.charges.set(asset.id, { asset, phase, sequence, sinceMs: this.clock.nowMs() });
  }

  private sumMb(counts: (charge: Charge) => boolean): number {
    return this.all()
      .filter(counts)
      .reduce((sum, charge) => sum + charge.asset.sizeMb, 0);
  }
}

export default MemoryBook;
