import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type EngineControl from './EngineControl';
import type EventLog from './EventLog';
import OrderAnswer from './OrderAnswer';
import OrderKind from './OrderKind';
import type PlacementUpdate from './PlacementUpdate';
import type RegisteredTarget from './RegisteredTarget';
import type TargetTable from './TargetTable';
import type TargetView from './TargetView';

interface Parts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly control: EngineControl;
  readonly table: TargetTable;
  readonly log: EventLog;
  /** Tells every instance what an engine holds. */
  readonly publish: (updates: readonly PlacementUpdate[]) => void;
}

interface Change {
  readonly kind: OrderKind;
  readonly model: string;
  readonly adapter: string | null;
}

type Models = ReadonlyMap<string, ReadonlySet<string>>;

const RETRY_MS = 100;
const POLL_MODEL_MS = 40;
const POLL_ADAPTER_MS = 8;
/** Time for requests to cease after the instances were told that a model leaves. */
const SPREAD_MS = 12;
/** Time beyond the expected one after which an order is given up. */
const PATIENCE_MS = 4_000;
/** Age of the newest order from which a report is sure to reflect it. */
const REPORT_LAG_MS = 600;

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

/** Carries out changes at one engine, each order bound to the count of orders before it. */
class EngineOrders {
  private chain: Promise<unknown> = Promise.resolve();

  private lastOrderMs = -Infinity;

  /** Orders that the engine has accepted since its start; unknown before its first report. */
  private orderCount: number | undefined;

  /** What the engine holds, by its own report and the changes made since. */
  private models: Models;

  private updates = 0;

  /** Model on its way, and when it is expected. */
  private loading: { readonly model: string; readonly untilMs: number } | null = null;

  private isSynced = false;

  private isSyncing = false;

  private readonly entry: RegisteredTarget;

  constructor(
    private readonly parts: Parts,
    view: TargetView,
  ) {
    this.entry = view.entry;
    this.models = view.models;
  }

  /** Whether what the engine holds is known from itself since this object was made. */
  get isKnown(): boolean {
    if (!this.isSynced && !this.isSyncing) void this.sync();
    return this.isSynced;
  }

  /** Takes what the engine reports, once orders of an earlier tenure must show in it. */
  private async sync(): Promise<void> {
    this.isSyncing = true;
    const { clock, control } = this.parts;
    await clock.sleep(REPORT_LAG_MS);
    const report = await control.report(this.entry);
    this.isSyncing = false;
    if (report === undefined || report.isBusy || !this.isCurrent) return;
    this.orderCount = report.orderCount;
    this.models = report.models;
    this.isSynced = true;
    this.tell();
  }

  /** Tells every instance that a model is on its way, or with `null` that none is. */
  announce(model: string | null, forMs: number): void {
    const untilMs = this.parts.clock.nowMs() + forMs;
    this.loading = model === null ? null : { model, untilMs };
    this.tell();
  }

  /** The engine with what it holds by this book, which entries lag behind. */
  viewOf(view: TargetView): TargetView {
    return { ...view, models: this.models };
  }

  /** Makes one change; resolves once the engine has it, or with false if it could not be had. */
  async change(change: Change, expectedMs: number): Promise<boolean> {
    const { clock, log } = this.parts;
    if (change.kind === OrderKind.Unload) {
      this.publish(change);
      await clock.sleep(SPREAD_MS);
    }
    const startedMs = clock.nowMs();
    const giveUpMs = startedMs + expectedMs + PATIENCE_MS;
    const accepted = await this.inTurn(() => this.order(change, giveUpMs));
    const isDone =
      accepted === 'done' || (accepted === 'begun' && (await this.finish(change, expectedMs)));
    if (isDone && change.kind === OrderKind.Load) this.publish(change);
    const { kind, model, adapter } = change;
    const tookMs = Math.round(clock.nowMs() - startedMs);
    const fields = { engine: this.entry.id, kind, model, adapter: adapter ?? '', took_ms: tookMs };
    log.event('order_ended', { ...fields, done: isDone, order_count: this.orderCount ?? -1 });
    if (!isDone) this.isSynced = false;
    return isDone;
  }

  /** One order at a time may wait for its acceptance. */
  private inTurn<T>(task: () => Promise<T>): Promise<T> {
    const result = this.chain.then(task);
    this.chain = result.catch(() => {});
    return result;
  }

  private get isCurrent(): boolean {
    const known = this.parts.table.get(this.entry.id);
    return known !== undefined && known.entry.bornMs === this.entry.bornMs;
  }

  private async send(change: Change): Promise<OrderAnswer> {
    const { authority, control } = this.parts;
    const { orderCount } = this;
    if (!authority.isHeld() || !this.isCurrent) return OrderAnswer.Refused;
    if (orderCount === undefined) return OrderAnswer.Conflict;
    const answer = await control.order(this.entry, {
      ...change,
      expectedCount: orderCount,
      holder: authority.holder,
      fence: authority.fence,
    });
    const mayCount = answer === OrderAnswer.Accepted || answer === OrderAnswer.Unknown;
    if (mayCount) this.lastOrderMs = this.parts.clock.nowMs();
    return answer;
  }

  private async order(change: Change, giveUpMs: number): Promise<'done' | 'begun' | 'failed'> {
    const { clock } = this.parts;
    while (clock.nowMs() < giveUpMs) {
      const answer = await this.send(change);
      if (answer === OrderAnswer.Accepted) {
        this.countOrder();
        return 'begun';
      }
      if (answer === OrderAnswer.AlreadyApplied) {
        // An adapter leaves at once, and that counts as an order.
        if (change.adapter !== null && change.kind === OrderKind.Unload) this.countOrder();
        return 'done';
      }
      if (answer === OrderAnswer.Refused) return 'failed';
      if (answer === OrderAnswer.Conflict && (await this.hasOtherCount())) return 'failed';
      await clock.sleep(RETRY_MS);
    }
    return 'failed';
  }

  /**
   * Repeats an accepted order, which is not counted again, until the engine says that it holds. An
   * engine that is still busy with it is not given up: what it loads takes memory.
   */
  private async finish(change: Change, expectedMs: number): Promise<boolean> {
    const { clock, control } = this.parts;
    const pollMs = change.adapter === null ? POLL_MODEL_MS : POLL_ADAPTER_MS;
    await clock.sleep(expectedMs);
    for (;;) {
      const answer = await this.send(change);
      if (answer === OrderAnswer.AlreadyApplied) return true;
      if (answer === OrderAnswer.Refused) return false;
      if (answer === OrderAnswer.Conflict && !(await this.isStillBusy(control))) return false;
      await clock.sleep(pollMs);
    }
  }

  /** Whether an engine that contradicts an accepted order may still be carrying it out. */
  private async isStillBusy(control: EngineControl): Promise<boolean> {
    const report = await control.report(this.entry);
    const isRecent = this.parts.clock.nowMs() - this.lastOrderMs < REPORT_LAG_MS;
    return report === undefined || report.isBusy || isRecent;
  }

  /**
   * Whether the engine has carried out an order that this book does not know of: one whose answer was
   * lost, or that came late. What the engine holds must then be read anew.
   */
  private async hasOtherCount(): Promise<boolean> {
    const report = await this.parts.control.report(this.entry);
    if (report === undefined || report.isBusy) return false;
    const isSettled = this.parts.clock.nowMs() - this.lastOrderMs > REPORT_LAG_MS;
    return isSettled && report.orderCount !== this.orderCount;
  }

  private countOrder(): void {
    this.orderCount = (this.orderCount ?? 0) + 1;
  }

  /** What is known of the engine, for an instance that missed it. */
  describe(): PlacementUpdate {
    return this.update();
  }

  private publish(change: Change): void {
    this.models = withChange(this.models, change);
    this.tell();
  }

  private tell(): void {
    const update = this.update();
    this.parts.table.applyPlacement(update);
    this.parts.publish([update]);
  }

  private update(): PlacementUpdate {
    this.updates += 1;
    return {
      target: this.entry.id,
      bornMs: this.entry.bornMs,
      stamp: [this.parts.authority.fence, this.updates],
      loading: this.loading?.model ?? null,
      busyForMs: Math.max(0, (this.loading?.untilMs ?? 0) - this.parts.clock.nowMs()),
      models: [...this.models].map(([model, adapters]) => [model, [...adapters]] as const),
    };
  }
}

export default EngineOrders;
