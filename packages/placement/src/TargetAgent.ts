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

const MISSED_REPORTS_LIMIT = 3;

interface Parts {
  readonly name: string;
  readonly target: Target;
  readonly control: TargetControl;
  readonly clock: Clock;
  /** The placer's epoch, the fencing number of all orders. */
  readonly epoch: number;
  readonly pollIntervalMs: number;
  readonly leaseTermMs: number;
  /** Memory that assets may take; the rest is kept for KV cache. */
  readonly assetMemoryMb: number;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
  /** Takes a permit of the weight store for a load from the remote tier. */
  readonly acquirePermit: (assetId: string) => boolean;
  readonly releasePermit: (assetId: string) => void;
  /** The target refused an order as stale: this placer has been replaced. */
  readonly onStale: () => void;
}

/** A placer's task for one target: reads its reports, sends its orders, keeps its books. */
class TargetAgent {
  readonly window: WarmupWindow;

  readonly slots: SlotLeases;

  readonly memory: MemoryReservations;

  private loads: Asset[] = [];

  private unloads: Asset[] = [];

  private sequence = 0;

  /** The order whose outcome is not known yet. */
  private unsettled: TargetOrder | undefined;

  private report: LoadReport | undefined;

  private missedReports = 0;

  private readonly stopping = new AbortController();

  private wakeUp = new AbortController();

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

  /** True once a report that reflects this placer's fence was absorbed and reports keep coming. */
  get usable(): boolean {
    return this.report !== undefined && this.missedReports < MISSED_REPORTS_LIMIT;
  }

  /** Whether the target has everything ready. */
  serves(assets: readonly Asset[]): boolean {
    const ids = assets.map((asset) => asset.id);
    return this.usable && this.memory.areInPhase(ids, [AssetPhase.Ready]);
  }

  /** Whether all of it is loaded or being loaded. */
  isLoadedOrLoading(assets: readonly Asset[]): boolean {
    const ids = assets.map((asset) => asset.id);
    return this.memory.areInPhase(ids, [AssetPhase.Decided, AssetPhase.Loading, AssetPhase.Ready]);
  }

  /** Nearest tier of an asset's checkpoint. */
  tier(assetId: string): 'memory' | 'disk' | 'remote' {
    return this.report?.tiers[assetId] ?? 'remote';
  }

  /** Whether loads and unloads may be decided for the target. */
  get canChangeAssets(): boolean {
    return this.usable && this.target.kind === TargetKind.Engine && this.parts.mayOrder();
  }

  get queuedLoadCount(): number {
    return this.loads.length;
  }

  /** Whether loads are queued, or one of the assets is leaving and may then be loaded again. */
  isBusyWith(assets: readonly Asset[]): boolean {
    const isLeaving = (asset: Asset) => this.memory.phaseOf(asset.id) === AssetPhase.Unloading;
    return this.loads.length > 0 || assets.some(isLeaving);
  }

  queueLoad(asset: Asset): void {
    this.memory.reserve(asset);
    this.loads.push(asset);
  }

  queueUnload(asset: Asset): void {
    this.unloads.push(asset);
    this.memory.markUnloading(asset, Infinity);
  }

  /** Wakes the task, after a decision. */
  wake(): void {
    this.wakeUp.abort();
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
    this.wake();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.poll();
      if (this.target.kind === TargetKind.Engine) await this.sendOrders();
      if (this.wakeUp.signal.aborted) this.wakeUp = new AbortController();
      else await this.parts.clock.sleep(this.nextPollMs(), this.wakeUp.signal);
    }
  }

  /** Reports are read more often while a load or unload is under way. */
  private nextPollMs(): number {
    const settled = this.memory.all().every((charge) => charge.phase === AssetPhase.Ready);
    return settled && this.usable ? this.parts.pollIntervalMs : this.parts.pollIntervalMs / 10;
  }

  private async poll(): Promise<void> {
    const read = await this.parts.control.report(this.target.url);
    read.caseOf({
      Nothing: () => {
        this.missedReports += 1;
      },
      Just: (report) => this.absorb(report),
    });
  }

  private absorb(report: LoadReport): void {
    const fenced = report.lastOrder.fencing === this.parts.epoch;
    if (this.target.kind === TargetKind.Engine && !fenced) return;
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
    const order = this.unsettled ?? this.nextOrder();
    if (order === undefined) return;
    this.unsettled = order;
    const result = await this.parts.control.order(this.target.url, order);
    if (result === OrderResult.Unknown) return;
    this.unsettled = undefined;
    if (result === OrderResult.Stale) this.parts.onStale();
    else this.wake();
  }

  private nextOrder(): TargetOrder | undefined {
    if (this.sequence === 0) return this.number(OrderKind.Fence, { id: '', sizeMb: 0 });
    if (!this.canChangeAssets) return undefined;
    return this.nextUnload() ?? this.nextLoad();
  }

  private nextUnload(): TargetOrder | undefined {
    const next = this.unloads.find((asset) => !this.slots.isInUse(asset.id));
    if (next === undefined) return undefined;
    this.unloads = this.unloads.filter((asset) => asset !== next);
    const order = this.number(OrderKind.Unload, next);
    this.memory.markUnloading(next, order.sequence);
    return order;
  }

  private nextLoad(): TargetOrder | undefined {
    const next = this.loads.find(
      (asset) => this.memory.fitsNow(asset) && this.isModelSent(asset) && this.hasPermit(asset),
    );
    if (next === undefined) return undefined;
    this.loads = this.loads.filter((asset) => asset !== next);
    const order = this.number(OrderKind.Load, next);
    this.memory.markLoading(next, order.sequence);
    return order;
  }

  /** An adapter is ordered after the model that it belongs to. */
  private isModelSent(asset: Asset): boolean {
    const [model] = asset.id.split('/');
    return model === asset.id || this.memory.phaseOf(model) !== AssetPhase.Decided;
  }

  /** Takes a permit where the load needs one. */
  private hasPermit(asset: Asset): boolean {
    return this.tier(asset.id) !== 'remote' || this.parts.acquirePermit(asset.id);
  }

  private number(kind: OrderKind, asset: Asset): TargetOrder {
    this.sequence += 1;
    const { id: assetId, sizeMb } = asset;
    return { kind, assetId, sizeMb, fencing: this.parts.epoch, sequence: this.sequence };
  }
}

export default TargetAgent;
