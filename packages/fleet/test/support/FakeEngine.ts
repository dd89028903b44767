import type { Clock } from '@wisteriapath/model';
import {
  type EngineControl,
  type EngineOrder,
  type EngineReport,
  OrderAnswer,
  OrderKind,
} from '../../src';

interface Work {
  readonly order: EngineOrder;
  readonly untilMs: number;
}

const REPORT_LAG_MS = 200;

/** A fake engine that counts orders, carries out one at a time and reports with a lag. */
class FakeEngine implements Pick<EngineControl, 'order' | 'report'> {
  readonly orders: EngineOrder[] = [];

  private count = 0;

  private work: Work | undefined;

  private readonly history: { atMs: number; report: EngineReport }[] = [];

  /** Largest number of models that were loaded or being loaded at once. */
  maxModels = 0;

  /** Duration of a load. */
  loadMs = 500;

  /** Duration of an unload. */
  unloadMs = 20;

  /** Delay of loads in ms. Above 0, a load gets no answer and is carried out late if its expected count still matches. */
  loadDelayMs = 0;

  constructor(
    private readonly clock: Clock,
    readonly models: Set<string>,
  ) {
    this.recordReport();
  }

  /** Whether it carries out a load now. */
  get isLoading(): boolean {
    this.finish();
    return this.work?.order.kind === OrderKind.Load;
  }

  order(_target: unknown, order: EngineOrder): Promise<OrderAnswer> {
    this.orders.push(order);
    if (this.loadDelayMs > 0 && order.kind === OrderKind.Load) {
      void this.clock.sleep(this.loadDelayMs).then(() => this.answer(order));
      return Promise.resolve(OrderAnswer.Unknown);
    }
    return Promise.resolve(this.answer(order));
  }

  report(): Promise<EngineReport> {
    this.finish();
    const beforeMs = this.clock.nowMs() - REPORT_LAG_MS;
    const old = this.history.filter(({ atMs }) => atMs <= beforeMs).at(-1) ?? this.history[0];
    return Promise.resolve(old.report);
  }

  private answer(order: EngineOrder): OrderAnswer {
    this.finish();
    const { kind, model } = order;
    if (this.work !== undefined) {
      const isSame = this.work.order.model === model && this.work.order.kind === kind;
      return isSame ? OrderAnswer.Accepted : OrderAnswer.Conflict;
    }
    if (order.expectedCount !== this.count) return OrderAnswer.Conflict;
    if (this.models.has(model) === (kind === OrderKind.Load)) return OrderAnswer.AlreadyApplied;
    this.count += 1;
    const durationMs = kind === OrderKind.Load ? this.loadMs : this.unloadMs;
    this.work = { order, untilMs: this.clock.nowMs() + durationMs };
    const loadingCount = kind === OrderKind.Load ? 1 : 0;
    this.maxModels = Math.max(this.maxModels, this.models.size + loadingCount);
    this.recordReport();
    return OrderAnswer.Accepted;
  }

  private finish(): void {
    if (this.work === undefined || this.work.untilMs > this.clock.nowMs()) return;
    const { kind, model } = this.work.order;
    if (kind === OrderKind.Load) this.models.add(model);
    else this.models.delete(model);
    this.work = undefined;
    this.recordReport();
  }

  private recordReport(): void {
    this.history.push({
      atMs: this.clock.nowMs(),
      report: {
        isBusy: this.work !== undefined,
        orderCount: this.count,
        models: new Map([...this.models].map((name) => [name, new Set<string>()])),
        running: 0,
        waiting: 0,
      },
    });
  }
}

export default FakeEngine;
