import { type Clock, type Target, TargetKind } from '@wisteriapath/model';
import type Asset from './Asset';
import AssetPhase from './AssetPhase';
import type LoadReport from './LoadReport';
import MemoryReservations from './MemoryReservations';
import OrderKind from './OrderKind';
import OrderResult from './OrderResult';
import SlotLeases from './SlotLeases';
import type TargetControl from './TargetControl';
import type TargetOrder from './TargetOrder';
import WarmupWindow from './WarmupWindow';

const MAX_MISSED_REPORTS = 3;

interface Parts {
  readonly name: string;
  readonly target: Target;
  readonly control: TargetControl;
  readonly clock: Clock;
  /** The placer's epoch, which is the fencing token of all orders. */
  readonly epoch: number;
  readonly pollIntervalMs: number;
  readonly leaseTermMs: number;
  /** Memory that assets may take; the rest is reserved for the KV cache. */
  readonly assetMemoryMb: number;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
  /** Acquires a permit for a load from the remote tier. Returns false if none is left. */
  readonly acquirePermit: (assetId: string) => boolean;
  readonly releasePermit: (assetId: string) => void;
  /**
   * Called when the target refuses an order as stale, which means that another placer took over.
   */
  readonly onStale: () => void;
}

/**
 * A placer's agent for one target. Reads the reports of the target, sends its orders, and keeps its
 * slot leases and memory reservations.
 */
class TargetAgent {
  readonly window: WarmupWindow;

  readonly slots: SlotLeases;

  readonly memory: MemoryReservations;

  private pendingLoads: Asset[] = [];

  private pendingUnloads: Asset[] = [];

  private sequence = 0;

  /** The order whose outcome is unknown; it is sent again until the target responds. */
  private unconfirmedOrder: TargetOrder | undefined;

  private report: LoadReport | undefined;

  private missedReports = 0;

  private readonly stopController = new AbortController();

  private wakeUpController = new AbortController();

  constructor(private readonly parts: Parts) {
    this.window = new WarmupWindow(parts.target.capacity);
    this.slots = new SlotLeases(parts.clock, parts.leaseTermMs);
    this.memory = new MemoryReservations(parts.assetMemoryMb, parts.clock);
  }

  get name(): string {
    return this.parts.name;
  }

  get target(): Target {
    return this.parts.target;
  }

  /**
   * Whether a report was applied and reports keep arriving. Reports of an engine count only if they
   * reflect an order of this placer's epoch.
   */
  get usable(): boolean {
    return this.report !== undefined && this.missedReports < MAX_MISSED_REPORTS;
  }

  /** Whether the target is usable and has all assets ready. */
  serves(assets: readonly Asset[]): boolean {
    const ids = assets.map((asset) => asset.id);
    return this.usable && this.memory.areInPhase(ids, [AssetPhase.Ready]);
  }

  /** Whether all assets are loaded, loading or about to be loaded. */
  isLoadedOrLoading(assets: readonly Asset[]): boolean {
    const ids = assets.map((asset) => asset.id);
    return this.memory.areInPhase(ids, [AssetPhase.Decided, AssetPhase.Loading, AssetPhase.Ready]);
  }

  /** Returns the fastest tier of an asset's checkpoint. */
  tier(assetId: string): 'memory' | 'disk' | 'remote' {
    return this.report?.tiers[assetId] ?? 'remote';
  }

  /** Whether loads and unloads may be decided for the target. */
  get canChangeAssets(): boolean {
    return this.usable && this.target.kind === TargetKind.Engine && this.parts.mayOrder();
  }

  get queuedLoadCount(): number {
    return this.pendingLoads.length;
  }

  /**
   * Whether loads are queued, or one of the assets is unloading and can be loaded again afterwards.
   */
  isBusyWith(assets: readonly Asset[]): boolean {
    const isUnloading = (asset: Asset) => this.memory.phaseOf(asset.id) === AssetPhase.Unloading;
    return this.pendingLoads.length > 0 || assets.some(isUnloading);
  }

  /** Reserves memory for an asset and queues its load order. */
  queueLoad(asset: Asset): void {
    this.memory.reserve(asset);
    this.pendingLoads.push(asset);
  }

  /** Queues the unload order of an asset. It is sent when no holder may be using the asset. */
  queueUnload(asset: Asset): void {
    this.pendingUnloads.push(asset);
    this.memory.markUnloading(asset, Infinity);
  }

  /** Wakes the polling loop, so that queued orders are sent at once. */
  wake(): void {
    this.wakeUpController.abort();
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
    this.wake();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      await this.poll();
      if (this.target.kind === TargetKind.Engine) await this.sendOrders();
      if (this.wakeUpController.signal.aborted) this.wakeUpController = new AbortController();
      else await this.parts.clock.sleep(this.nextPollMs(), this.wakeUpController.signal);
    }
  }

  /** Returns the time until the next poll: shorter while a load or unload is in progress. */
  private nextPollMs(): number {
    const settled = this.memory
      .all()
      .every((reservation) => reservation.phase === AssetPhase.Ready);
    return settled && this.usable ? this.parts.pollIntervalMs : this.parts.pollIntervalMs / 10;
  }

  private async poll(): Promise<void> {
    const read = await this.parts.control.report(this.target.url);
    read.caseOf({
      Nothing: () => {
        this.missedReports += 1;
      },
      Just: (report) => this.applyReport(report),
    });
  }

  private applyReport(report: LoadReport): void {
    const isFenced = report.lastOrder.fencing === this.parts.epoch;
    if (this.target.kind === TargetKind.Engine && !isFenced) return;
    this.missedReports = 0;
    if (this.report?.incarnation !== report.incarnation) this.beginIncarnation(report);
    this.report = report;
    this.memory.applyReport(report).forEach((asset) => this.parts.releasePermit(asset.id));
    this.slots.reconcile(report.inflight);
    report.assets
      .filter((asset) => asset.ready)
      .forEach((asset) => this.parts.releasePermit(asset.id));
  }

  private beginIncarnation(report: LoadReport): void {
    if (this.report !== undefined) this.memory.dropSent();
    this.window.reset();
    this.window.recordSuccesses(report.finished);
  }

  private async sendOrders(): Promise<void> {
    const order = this.unconfirmedOrder ?? this.nextOrder();
    if (order === undefined) return;
    this.unconfirmedOrder = order;
    const result = await this.parts.control.order(this.target.url, order);
    if (result === OrderResult.Unknown) return;
    this.unconfirmedOrder = undefined;
    if (result === OrderResult.Stale) this.parts.onStale();
    else this.wake();
  }

  private nextOrder(): TargetOrder | undefined {
    if (this.sequence === 0) return this.createOrder(OrderKind.Fence, { id: '', sizeMb: 0 });
    if (!this.canChangeAssets) return undefined;
    return this.nextUnload() ?? this.nextLoad();
  }

  private nextUnload(): TargetOrder | undefined {
    const next = this.pendingUnloads.find((asset) => !this.slots.isInUse(asset.id));
    if (next === undefined) return undefined;
    this.pendingUnloads = this.pendingUnloads.filter((asset) => asset !== next);
    const order = this.createOrder(OrderKind.Unload, next);
    this.memory.markUnloading(next, order.sequence);
    return order;
  }

  private nextLoad(): TargetOrder | undefined {
    const next = this.pendingLoads.find(
      (asset) =>
        this.memory.fitsNow(asset) &&
        this.isModelOrdered(asset) &&
        this.acquirePermitIfNeeded(asset),
    );
    if (next === undefined) return undefined;
    this.pendingLoads = this.pendingLoads.filter((asset) => asset !== next);
    const order = this.createOrder(OrderKind.Load, next);
    this.memory.markLoading(next, order.sequence);
    return order;
  }

  /** Whether the load of an adapter's model was already ordered; true for models. */
  private isModelOrdered(asset: Asset): boolean {
    const [model] = asset.id.split('/');
    return model === asset.id || this.memory.phaseOf(model) !== AssetPhase.Decided;
  }

  /** Acquires a permit if the load needs one. Returns false if none is left. */
  private acquirePermitIfNeeded(asset: Asset): boolean {
    return this.tier(asset.id) !== 'remote' || this.parts.acquirePermit(asset.id);
  }

  private createOrder(kind: OrderKind, asset: Asset): TargetOrder {
    this.sequence += 1;
    const { id: assetId, sizeMb } = asset;
    return { kind, assetId, sizeMb, fencing: this.parts.epoch, sequence: this.sequence };
  }
}

export default TargetAgent;
