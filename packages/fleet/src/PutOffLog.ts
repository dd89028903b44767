import type { Clock } from '@wisteriapath/model';
import type DemandSnapshot from './DemandSnapshot';
import type EngineDesk from './EngineDesk';
import type EventLog from './EventLog';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

interface Engines {
  /** The placer's own engines of a pool. */
  readonly own: (pool: string) => readonly TargetView[];
  readonly engineOf: (view: TargetView) => ReturnType<EngineDesk['engineOf']>;
}

/** A model that waits, and what was found for it. */
interface PutOff {
  readonly round: { readonly pool: string; readonly demand: DemandSnapshot };
  readonly model: string;
  readonly waitedMs: number;
  /** The best plan over the engines of all placers. */
  readonly best: PlannedLoad | undefined;
  /** The best plan over the own engines. */
  readonly second: PlannedLoad | undefined;
  readonly context: {
    readonly free: readonly TargetView[];
    readonly storeIsFree: boolean;
    readonly copyIsSoon: (model: string) => boolean;
  };
}

/** Least time between two lines on one model. */
const EVERY_MS = 1_000;

const count = <T>(all: readonly T[], holds: (one: T) => boolean): number =>
  all.filter(holds).length;

/** Tells in a while why a model that is waited for is not loaded yet. */
class PutOffLog {
  private readonly notedMs = new Map<string, number>();

  constructor(
    private readonly parts: Parts,
    private readonly engines: Engines,
  ) {}

  note({ round: { pool, demand }, model, waitedMs, best, second, context }: PutOff): void {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - (this.notedMs.get(model) ?? -Infinity) < EVERY_MS) return;
    this.notedMs.set(model, nowMs);
    const holdsCopy = ({ entry }: TargetView) => hasCopy(entry, model);
    const own = this.engines.own(pool);
    const engines = own.map((view) => this.engines.engineOf(view));
    this.parts.log.event('load_put_off', {
      model,
      waited_ms: Math.round(waitedMs),
      engines: own.length,
      free: context.free.length,
      busy: count(engines, ({ isBusy }) => isBusy),
      with_adapters_coming: count(engines, ({ adaptersComing }) => adaptersComing.size > 0),
      avoided: count(engines, ({ avoidUntilMs }) => avoidUntilMs > nowMs),
      unreachable: count(own, ({ entry }) => demand.unreachable.has(entry.id)),
      not_known: count(engines, ({ orders }) => !orders.isKnown),
      free_with_copy: count(context.free, holdsCopy),
      own_with_copy: count(own, holdsCopy),
      store_is_free: context.storeIsFree,
      copy_is_soon: context.copyIsSoon(model),
      left_to: best === undefined ? '' : best.view.entry.failureDomain,
      own_plan: second !== undefined,
    });
  }
}

export default PutOffLog;
