import {
  decideScale,
  findDoubt,
  hasEnoughReports,
  type ScalingDecision,
  type ScalingReason,
  type ScalingView,
  startingEngines,
  type StandingOrder,
  windowMs,
} from '@wisteriapath/scaling';
import DutyAnswer from './DutyAnswer';
import type EngineSpec from './EngineSpec';
import type KnownInstances from './KnownInstances';
import type ScalerOptions from './ScalerOptions';
import type ScalerParts from './ScalerParts';
import type ScalingSpec from './ScalingSpec';
import ServiceObserver from './ServiceObserver';

/** A service whose number of engines is ordered. */
interface ScaledService {
  readonly pool: string;
  readonly limits: ScalingSpec;
  readonly engine: EngineSpec;
}

/** An order that the platform has not accepted yet. */
interface PendingOrder extends StandingOrder {
  /** Calls that were made for it. */
  calls: number;
  nextCallMs: number;
}

/** Least time between two decisions, and between an order and the next decision. */
const DECISION_INTERVAL_MS = 1_000;
const ORDER_INTERVAL_MS = 5_000;
/** Pause before an order without an acceptance is sent again; doubles with each call. */
const RETRY_INTERVAL_MS = 1_000;
const MAX_RETRY_INTERVAL_MS = 8_000;
/** Time after which an order that was not accepted is dropped; the start of an engine, if that is longer. */
const MIN_ORDER_VALIDITY_MS = 10_000;
/** Least time between two log lines of one service that say why its number stays. */
const LOG_INTERVAL_MS = 5_000;

const upperMedian = (values: readonly number[]): number =>
  [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0;

/** Decides on the number of engines of one service, and keeps an order until the platform has accepted it. */
class ServiceScaler {
  private readonly observer: ServiceObserver;

  /** The last order that was accepted. */
  private accepted: StandingOrder | undefined;

  private pending: PendingOrder | undefined;

  private nextDecisionMs = -Infinity;

  private lastReason: ScalingReason | undefined;

  private lastLoggedMs = -Infinity;

  constructor(
    private service: ScaledService,
    private readonly options: ScalerOptions,
    private readonly parts: ScalerParts,
    private readonly instances: Pick<KnownInstances, 'count'>,
  ) {
    this.observer = new ServiceObserver(service.pool, options, parts);
  }

  /** Replaces the limits and the engines' properties by those in force. */
  update(service: ScaledService): void {
    this.service = service;
  }

  /** Observes the service, and decides on its number of engines if that is due. */
  step(): void {
    const { engine, limits } = this.service;
    const { nowMs } = this;
    if (hasEnoughReports(this.reportingFraction)) {
      this.observer.observe(engine, windowMs({ limits, firstLoadMs: this.firstLoadMs }));
    }
    this.dropOldOrder();
    if (this.pending !== undefined || nowMs < this.nextDecisionMs) return;
    this.nextDecisionMs = nowMs + DECISION_INTERVAL_MS;
    this.decide();
  }

  /** Whether an order is to be sent now, and may be: nothing is sent on a view that is in doubt. */
  get isCallDue(): boolean {
    const { pending, nowMs } = this;
    return (
      pending !== undefined && nowMs >= pending.nextCallMs && findDoubt(this.view) === undefined
    );
  }

  /** Sends the pending order. */
  async call(): Promise<void> {
    const { parts, pending, options, service, nowMs } = this;
    if (pending === undefined) return;
    const { authority, api, log } = parts;
    const { fence, holder } = authority;
    pending.calls += 1;
    const pauseMs = RETRY_INTERVAL_MS * 2 ** (pending.calls - 1);
    pending.nextCallMs = nowMs + Math.min(MAX_RETRY_INTERVAL_MS, pauseMs);
    const isHeld = () => authority.isHeld() && authority.fence === fence;
    const { failureDomain } = options;
    const { count } = pending;
    const answer = await api.orderCapacity(
      { holder, fence, isHeld },
      { pool: service.pool, failureDomain, count },
    );
    if (answer === DutyAnswer.Accepted && this.pending === pending) {
      this.accepted = { count, atMs: pending.atMs };
      this.pending = undefined;
      this.nextDecisionMs = nowMs + ORDER_INTERVAL_MS;
    }
    parts.onAnswer(service.pool, answer);
    log.event('scale_ordered', {
      pool: service.pool,
      zone: failureDomain,
      desired: count,
      fence,
      answer,
      call: pending.calls,
      took_ms: Math.round(this.nowMs - nowMs),
    });
  }

  private decide(): void {
    const { view, nowMs } = this;
    const decision = decideScale(view);
    this.logDecision(decision, view);
    if (decision.desired === undefined) return;
    this.pending = { count: decision.desired, atMs: nowMs, calls: 0, nextCallMs: nowMs };
  }

  /** Drops an order that the platform has not accepted in time. What is in force then shows after a whole window. */
  private dropOldOrder(): void {
    const { pending, nowMs, service, options } = this;
    const validMs = Math.max(MIN_ORDER_VALIDITY_MS, service.limits.bootMs);
    if (pending === undefined || nowMs - pending.atMs < validMs) return;
    this.pending = undefined;
    this.accepted = undefined;
    this.observer.clear();
    const { count: desired, calls } = pending;
    const fields = { pool: service.pool, zone: options.failureDomain, desired, calls };
    this.parts.log.event('scale_dropped', { ...fields, fence: this.parts.authority.fence });
  }

  private get nowMs(): number {
    return this.parts.clock.nowMs();
  }

  private get reportingFraction(): number {
    return this.parts.demand.reportingInstances / Math.max(1, this.instances.count);
  }

  /** Time of a load from the weight store, in the middle of all models. */
  private get firstLoadMs(): number {
    return upperMedian([...this.service.engine.models.values()].map((one) => one.storeLoadMs));
  }

  private get view(): ScalingView {
    const { parts, observer, service, options } = this;
    const { limits, engine } = service;
    return {
      nowMs: this.nowMs,
      limits,
      viewAgeMs: parts.viewAgeMs(),
      isStoreReachable: parts.isStoreReachable(),
      reportingFraction: this.reportingFraction,
      isOutOfService: parts.table.drainedDomains.has(options.failureDomain),
      observations: observer.observations,
      ordered: this.accepted,
      memory: observer.memory(engine),
      firstLoadMs: this.firstLoadMs,
    };
  }

  /** Logs each order, and changes of the reason why there is none. */
  private logDecision({ desired, reason }: ScalingDecision, view: ScalingView): void {
    const { nowMs, service, options } = this;
    const isNew = reason !== this.lastReason && nowMs - this.lastLoggedMs >= LOG_INTERVAL_MS;
    if (desired === undefined && !isNew) return;
    this.lastReason = reason;
    this.lastLoggedMs = nowMs;
    const { observations, memory, limits } = view;
    const demands = observations.map(({ busy, waiting }) => busy + waiting);
    const last = observations.at(-1);
    this.parts.log.event('scale_decided', {
      pool: service.pool,
      zone: options.failureDomain,
      desired: desired ?? '',
      reason,
      ready: last?.ready ?? 0,
      leaving: last?.leaving ?? 0,
      starting: startingEngines(view),
      ordered: view.ordered?.count ?? '',
      min: limits.min,
      max: limits.max,
      places: last?.places ?? 0,
      busy: last?.busy ?? 0,
      lowest_busy:
        observations.length === 0 ? '' : Math.min(...observations.map((one) => one.busy)),
      peak: demands.length === 0 ? '' : Math.round(Math.max(...demands)),
      waiting: Math.round(last?.waiting ?? 0),
      per_s: Number((last?.ratePerS ?? 0).toFixed(1)),
      in_use_mb: memory.inUseMb,
      room_mb: memory.roomMb,
      observed_ms: Math.round(nowMs - (observations[0]?.atMs ?? nowMs)),
      view_age_ms: Math.round(view.viewAgeMs),
      reporting: Number(view.reportingFraction.toFixed(2)),
      fence: this.parts.authority.fence,
    });
  }
}

export default ServiceScaler;
