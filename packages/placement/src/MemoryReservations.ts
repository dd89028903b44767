import type { Clock } from '@wisteriapath/model';
import type Asset from './Asset';
import type MemoryReservation from './MemoryReservation';
import AssetPhase from './AssetPhase';
import type LoadReport from './LoadReport';

/** Sequence number that no report reflects. */
const NOT_SENT_SEQUENCE = Infinity;
/** Sequence number of an asset that was first seen in a report: every report reflects it. */
const ADOPTED_SEQUENCE = 0;

/**
 * The memory reservations of one engine. A reservation lasts from the decision to load until the
 * engine confirms the unload. While the outcome of an order is unknown, memory is reserved as if a
 * load had taken effect and an unload had not.
 */
class MemoryReservations {
  private reservations = new Map<string, MemoryReservation>();

  constructor(
    private readonly limitMb: number,
    private readonly clock: Clock,
  ) {}

  /** Returns the phase of an asset; undefined if no memory is reserved for it. */
  phaseOf(assetId: string): AssetPhase | undefined {
    return this.reservations.get(assetId)?.phase;
  }

  all(): readonly MemoryReservation[] {
    return [...this.reservations.values()];
  }

  /** Returns the reservations of a model's adapters, followed by that of the model itself. */
  withAdapters(reservation: MemoryReservation): readonly MemoryReservation[] {
    const adapters = this.all().filter(({ asset }) =>
      asset.id.startsWith(`${reservation.asset.id}/`),
    );
    return [...adapters, reservation];
  }

  /** Whether every asset is in one of the phases. */
  areInPhase(assetIds: readonly string[], phases: readonly AssetPhase[]): boolean {
    return assetIds.every((id) => {
      const phase = this.phaseOf(id);
      return phase !== undefined && phases.includes(phase);
    });
  }

  /**
   * Returns the memory that is free once all decided unloads are confirmed; negative if
   * overcommitted.
   */
  plannedFreeMb(): number {
    return this.limitMb - this.sumMb((reservation) => reservation.phase !== AssetPhase.Unloading);
  }

  /** Whether a decided load fits beside every asset that may be in the engine now. */
  fitsNow(asset: Asset): boolean {
    const presentMb = this.sumMb(
      (reservation) =>
        reservation.phase !== AssetPhase.Decided && reservation.asset.id !== asset.id,
    );
    return presentMb + asset.sizeMb <= this.limitMb;
  }

  /** Reserves memory for a load whose order has not been sent. */
  reserve(asset: Asset): void {
    this.set(asset, AssetPhase.Decided, NOT_SENT_SEQUENCE);
  }

  /** Marks a load whose order is about to be sent. */
  markLoading(asset: Asset, sequence: number): void {
    this.set(asset, AssetPhase.Loading, sequence);
  }

  /**
   * Marks an asset to be unloaded; `sequence` is `Infinity` until its order is about to be sent.
   */
  markUnloading(asset: Asset, sequence: number): void {
    this.set(asset, AssetPhase.Unloading, sequence);
  }

  /** Drops the reservation of a decided load that is abandoned before its order is sent. */
  cancelDecided(assetId: string): void {
    if (this.phaseOf(assetId) === AssetPhase.Decided) this.reservations.delete(assetId);
  }

  /** Drops all reservations but those of loads not yet sent, after the engine lost its state. */
  dropSent(): void {
    this.reservations.forEach((reservation, id) => {
      if (reservation.phase !== AssetPhase.Decided) this.reservations.delete(id);
    });
  }

  /**
   * Applies a report. Returns the assets that should be in the engine and are missing in the
   * report.
   */
  applyReport(report: LoadReport): readonly Asset[] {
    const missing: Asset[] = [];
    const reported = new Map(report.assets.map((asset) => [asset.id, asset]));
    this.reservations.forEach((reservation, id) => {
      if (report.lastOrder.sequence < reservation.sequence) return;
      const seen = reported.get(id);
      if (seen === undefined) {
        this.reservations.delete(id);
        if (reservation.phase !== AssetPhase.Unloading) missing.push(reservation.asset);
      } else if (seen.ready && reservation.phase === AssetPhase.Loading) {
        this.set(reservation.asset, AssetPhase.Ready, reservation.sequence);
      }
    });
    report.assets.forEach(({ id, sizeMb, ready }) => {
      if (this.reservations.has(id)) return;
      const phase = ready ? AssetPhase.Ready : AssetPhase.Loading;
      this.set({ id, sizeMb }, phase, ADOPTED_SEQUENCE);
    });
    return missing;
  }

  private set(asset: Asset, phase: AssetPhase, sequence: number): void {
    this.reservations.set(asset.id, { asset, phase, sequence, phaseSinceMs: this.clock.nowMs() });
  }

  private sumMb(isCounted: (reservation: MemoryReservation) => boolean): number {
    return this.all()
      .filter(isCounted)
      .reduce((sum, reservation) => sum + reservation.asset.sizeMb, 0);
  }
}

export default MemoryReservations;
