import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type EngineControl from './EngineControl';
import type EngineReport from './EngineReport';
import type EventLog from './EventLog';
import OrderAnswer from './OrderAnswer';
import OrderKind from './OrderKind';
import type PlacementUpdate from './PlacementUpdate';
import type RegisteredTarget from './RegisteredTarget';
import type TargetTable from './TargetTable';
import type TargetView from './TargetView';
import isEnding from './isEnding';

interface Parts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly control: EngineControl;
  readonly table: TargetTable;
  readonly log: EventLog;
  /** Sends every instance what an engine holds. */
  readonly publish: (updates: readonly PlacementUpdate[]) => void;
}

/** A load or unload of a model or adapter. */
interface Change {
  readonly kind: OrderKind;
  readonly model: string;
  readonly adapter: string | null;
}

/** Adapters by model. */
type Models = ReadonlyMap<string, ReadonlySet<string>>;

const ORDER_RETRY_INTERVAL_MS = 100;
const MODEL_POLL_INTERVAL_MS = 40;
const ADAPTER_POLL_INTERVAL_MS = 8;
/** Wait between the announcement of an unload and its order, so that instances stop sending requests. */
const UNLOAD_DRAIN_MS = 12;
/** Time beyond the expected load time within which an engine must accept an order. */
const ORDER_ACCEPT_TIMEOUT_MS = 4_000;
/** Time after which a report is sure to reflect an order. */
const MAX_REPORT_LAG_MS = 600;

const withChange = (models: Models, { kind, model, adapter }: Change): Models => {
  const next = new Map(models);
  if (adapter === null) {
    if (kind === OrderKind.Load) next.set(model, next.get(model) ?? new Set());
    else next.delete(model);
    return next;
  }
  const adapters = new Set(next.get(model) ?? []);
  if (kind === OrderKind.Load) adapters.add(adapter);
  else adapters.delete(adapter);
  return next.set(model, adapters);
};

/**
 * Executes changes at one engine. Each order carries the number of orders accepted before it, so that the engine
 * refuses one that was decided on outdated state.
 */
class EngineOrderExecutor {
  private chain: Promise<unknown> = Promise.resolve();

  private lastOrderMs = -Infinity;

  private lastReportMs = -Infinity;

  /** Number of orders that the engine has accepted since its start; `undefined` before its first report. */
  private orderCount: number | undefined;

  /** What the engine holds, from its own report and the changes made since. */
  private models: Models;

  /** Number of placement updates created so far; the second part of their stamp. */
  private updateCount = 0;

  /** Model that is being loaded, and when the load is expected to end. */
  private loading: {
    readonly model: string;
    readonly untilMs: number;
    readonly isFromStore: boolean;
  } | null = null;

  private isSynced = false;

  private isSyncing = false;

  private readonly entry: RegisteredTarget;

  constructor(
    private readonly parts: Parts,
    view: TargetView,
    /** Time by which earlier holders of the authority have given their last orders. */
    private readonly earlierOrdersUntilMs = parts.clock.nowMs(),
  ) {
    this.entry = view.entry;
    this.models = view.models;
  }

  /**
   * Whether the engine has reported its models since this object was created. Starts to read the report if it has
   * not.
   */
  get isStateKnown(): boolean {
    if (!this.isSynced && !this.isSyncing) void this.sync();
    return this.isSynced;
  }

  /**
   * Time from which the report may be read. The first time it must reflect the orders of earlier holders; after a failed order, those that
   * are still under way must have ended, as they would go on with what they were planned for. One that did not help is not read again sooner.
   */
  private get nextReportMs(): number {
    const isFirst = this.orderCount === undefined;
    const sinceMs = isFirst
      ? Math.max(this.earlierOrdersUntilMs, this.lastReportMs)
      : this.parts.clock.nowMs();
    return sinceMs + MAX_REPORT_LAG_MS;
  }

  /** Reads the engine's report once it reflects the orders of earlier holders of the authority. */
  private async sync(): Promise<void> {
    this.isSyncing = true;
    const { clock } = this.parts;
    await clock.sleep(Math.max(0, this.nextReportMs - clock.nowMs()));
    this.lastReportMs = clock.nowMs();
    const report = await this.readReport();
    this.isSyncing = false;
    if (report === undefined || report.isBusy || !this.isSameIncarnation) return;
    this.orderCount = report.orderCount;
    this.models = report.models;
    this.isSynced = true;
    this.publishState();
  }

  /** Returns the engine's report; undefined if it cannot be read. */
  private async readReport(): Promise<EngineReport | undefined> {
    const { control, log } = this.parts;
    try {
      return await control.report(this.entry);
    } catch (error) {
      log.event('report_failed', { engine: this.entry.id, error: (error as Error).message });
      return undefined;
    }
  }

  /** Announces to every instance that a model is being loaded, or that none is if `model` is `null`. */
  announceLoading(model: string | null, forMs: number, isFromStore: boolean): void {
    const untilMs = this.parts.clock.nowMs() + forMs;
    this.loading = model === null ? null : { model, untilMs, isFromStore };
    this.publishState();
  }

  /** Returns a view with the models known here, because registered entries lag behind orders. */
  withCurrentModels(view: TargetView): TargetView {
    return { ...view, models: this.models };
  }

  /** Executes one change; resolves with true once the engine has completed it, or with false if it failed. */
  async applyChange(change: Change, expectedMs: number): Promise<boolean> {
    const { clock, log } = this.parts;
    if (change.kind === OrderKind.Unload) {
      this.recordChange(change);
      await clock.sleep(UNLOAD_DRAIN_MS);
    }
    const startedMs = clock.nowMs();
    const deadlineMs = startedMs + expectedMs + ORDER_ACCEPT_TIMEOUT_MS;
    const accepted = await this.runExclusive(() => this.orderUntilAccepted(change, deadlineMs));
    const isDone =
      accepted === 'done' ||
      (accepted === 'begun' && (await this.awaitCompletion(change, expectedMs)));
    if (isDone && change.kind === OrderKind.Load) this.recordChange(change);
    const { kind, model, adapter } = change;
    const tookMs = Math.round(clock.nowMs() - startedMs);
    const fields = { engine: this.entry.id, kind, model, adapter: adapter ?? '', took_ms: tookMs };
    log.event('order_ended', { ...fields, done: isDone, order_count: this.orderCount ?? -1 });
    if (!isDone) this.isSynced = false;
    return isDone;
  }

  /** Runs tasks one after another, so that only one order at a time waits for acceptance. */
  private runExclusive<T>(task: () => Promise<T>): Promise<T> {
    const result = this.chain.then(task);
    this.chain = result.catch(() => {});
    return result;
  }

  /** Whether the engine is registered and has not restarted since this object was created. */
  private get isSameIncarnation(): boolean {
    const known = this.parts.table.get(this.entry.id);
    return known !== undefined && known.entry.bornMs === this.entry.bornMs;
  }

  private async sendOrder(change: Change): Promise<OrderAnswer> {
    const { authority, control } = this.parts;
    const { orderCount } = this;
    if (!authority.isHeld() || !this.isSameIncarnation) return OrderAnswer.Refused;
    // What is loaded on an engine that is about to end would be lost with it.
    if (isEnding(this.parts.table.get(this.entry.id))) return OrderAnswer.Refused;
    if (orderCount === undefined) return OrderAnswer.Conflict;
    const { holder, fence } = authority;
    const answer = await control.order(this.entry, {
      ...change,
      expectedCount: orderCount,
      holder,
      fence,
    });
    if (answer === OrderAnswer.Fenced) {
      authority.observeFenced(fence);
      return OrderAnswer.Refused;
    }
    const isPossiblyCounted = answer === OrderAnswer.Accepted || answer === OrderAnswer.Unknown;
    if (isPossiblyCounted) this.lastOrderMs = this.parts.clock.nowMs();
    return answer;
  }

  /** Repeats an order until the engine accepts it, already satisfies it or refuses it, or the time is over. */
  private async orderUntilAccepted(
    change: Change,
    deadlineMs: number,
  ): Promise<'done' | 'begun' | 'failed'> {
    const { clock } = this.parts;
    while (clock.nowMs() < deadlineMs) {
      const answer = await this.sendOrder(change);
      if (answer === OrderAnswer.Accepted) {
        this.incrementOrderCount();
        return 'begun';
      }
      if (answer === OrderAnswer.AlreadyApplied) {
        // The engine unloads an adapter at once and counts that as an order.
        if (change.adapter !== null && change.kind === OrderKind.Unload) this.incrementOrderCount();
        return 'done';
      }
      if (answer === OrderAnswer.Refused) return 'failed';
      if (answer === OrderAnswer.Conflict && (await this.hasUnknownOrder())) return 'failed';
      await clock.sleep(ORDER_RETRY_INTERVAL_MS);
    }
    return 'failed';
  }

  /**
   * Repeats an accepted order, which the engine does not count again, until the engine answers that it is already
   * applied. There is no timeout while the engine is busy with it, because what it loads takes up memory.
   */
  private async awaitCompletion(change: Change, expectedMs: number): Promise<boolean> {
    const { clock, control } = this.parts;
    const pollMs = change.adapter === null ? MODEL_POLL_INTERVAL_MS : ADAPTER_POLL_INTERVAL_MS;
    await clock.sleep(expectedMs);
    for (;;) {
      const answer = await this.sendOrder(change);
      if (answer === OrderAnswer.AlreadyApplied) return true;
      if (answer === OrderAnswer.Refused) return false;
      if (answer === OrderAnswer.Conflict && !(await this.isStillBusy(control))) return false;
      await clock.sleep(pollMs);
    }
  }

  /** Whether an engine that answers an accepted order with a conflict may still be carrying it out. */
  private async isStillBusy(control: EngineControl): Promise<boolean> {
    const report = await control.report(this.entry);
    const isRecent = this.parts.clock.nowMs() - this.lastOrderMs < MAX_REPORT_LAG_MS;
    return report === undefined || report.isBusy || isRecent;
  }

  /**
   * Whether the engine has accepted an order that is not counted here: one whose answer was lost, or that arrived
   * late. The engine's report must then be read again.
   */
  private async hasUnknownOrder(): Promise<boolean> {
    const report = await this.parts.control.report(this.entry);
    if (report === undefined || report.isBusy) return false;
    const isSettled = this.parts.clock.nowMs() - this.lastOrderMs > MAX_REPORT_LAG_MS;
    return isSettled && report.orderCount !== this.orderCount;
  }

  private incrementOrderCount(): void {
    this.orderCount = (this.orderCount ?? 0) + 1;
  }

  /** Returns a new update with the current state, for instances that may have missed the last one. */
  nextUpdate(): PlacementUpdate {
    return this.createUpdate();
  }

  /** Applies a change to the local state and publishes it. */
  private recordChange(change: Change): void {
    this.models = withChange(this.models, change);
    this.publishState();
  }

  private publishState(): void {
    const update = this.createUpdate();
    this.parts.table.applyPlacement(update);
    this.parts.publish([update]);
  }

  private createUpdate(): PlacementUpdate {
    this.updateCount += 1;
    return {
      target: this.entry.id,
      bornMs: this.entry.bornMs,
      stamp: [this.parts.authority.fence, this.updateCount],
      loading: this.loading?.model ?? null,
      isFromStore: this.loading?.isFromStore ?? false,
      busyForMs: Math.max(0, (this.loading?.untilMs ?? 0) - this.parts.clock.nowMs()),
      models: [...this.models].map(([model, adapters]) => [model, [...adapters]] as const),
    };
  }
}

export default EngineOrderExecutor;
