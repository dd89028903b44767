import type { Clock } from '@wisteriapath/model';
import type DemandSnapshot from './DemandSnapshot';
import type EngineRegistry from './EngineRegistry';
import type EventLog from './EventLog';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';
import hasCopy from './hasCopy';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

interface EngineAccess {
  /** Returns the engines of a pool that the placer controls. */
  readonly ownViews: (pool: string) => readonly TargetView[];
  readonly engineOf: (view: TargetView) => ReturnType<EngineRegistry['engineOf']>;
}

/** A model that requests wait for, with the plans that were found for it. */
interface DeferredLoad {
  readonly pass: { readonly pool: string; readonly demand: DemandSnapshot };
  readonly model: string;
  readonly waitedMs: number;
  readonly order: WaitingModel['order'];
  /** The best plan over the engines of all active placers. */
  readonly bestPlan: PlannedLoad | undefined;
  /** The best plan over the engines that the placer controls. */
  readonly ownPlan: PlannedLoad | undefined;
  readonly context: {
    readonly free: readonly TargetView[];
    readonly isStoreFree: boolean;
    readonly hasCopySoon: (model: string) => boolean;
  };
}

/** Minimum time between two log lines about one model. */
const MIN_LOG_INTERVAL_MS = 1_000;

const countWhere = <T>(items: readonly T[], isCounted: (item: T) => boolean): number =>
  items.filter(isCounted).length;

/** Logs why a model that requests wait for is not being loaded yet, at a limited rate per model. */
class DeferredLoadLog {
  private readonly lastLoggedMs = new Map<string, number>();

  constructor(
    private readonly parts: Parts,
    private readonly engines: EngineAccess,
  ) {}

  record({
    pass: { pool, demand },
    model,
    waitedMs,
    order,
    bestPlan,
    ownPlan,
    context,
  }: DeferredLoad): void {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - (this.lastLoggedMs.get(model) ?? -Infinity) < MIN_LOG_INTERVAL_MS) return;
    this.lastLoggedMs.set(model, nowMs);
    const isCopyHolder = ({ entry }: TargetView) => hasCopy(entry, model);
    const own = this.engines.ownViews(pool);
    const engines = own.map((view) => this.engines.engineOf(view));
    this.parts.log.event('load_put_off', {
      model,
      waited_ms: Math.round(waitedMs),
      engines: own.length,
      free: context.free.length,
      busy: countWhere(engines, ({ isBusy }) => isBusy),
      with_adapters_coming: countWhere(engines, ({ loadingAdapters }) => loadingAdapters.size > 0),
      avoided: countWhere(engines, ({ avoidUntilMs }) => avoidUntilMs > nowMs),
      unreachable: countWhere(own, ({ entry }) => demand.unreachable.has(entry.id)),
      not_known: countWhere(engines, ({ executor }) => !executor.isStateKnown),
      free_with_copy: countWhere(context.free, isCopyHolder),
      own_with_copy: countWhere(own, isCopyHolder),
      store_is_free: context.isStoreFree,
      copy_is_soon: context.hasCopySoon(model),
      left_to: bestPlan === undefined ? '' : bestPlan.view.entry.failureDomain,
      own_plan: ownPlan !== undefined,
      ...(order === null ? {} : { priority: order.priority, slack_ms: Math.round(order.slackMs) }),
    });
  }
}

export default DeferredLoadLog;
