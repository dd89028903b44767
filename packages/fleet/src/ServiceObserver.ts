import { type ModelMemory, type Observation, ObservationWindow } from '@wisteriapath/scaling';
import type DemandSnapshot from './DemandSnapshot';
import type EngineSpec from './EngineSpec';
import type ScalerOptions from './ScalerOptions';
import type ScalerParts from './ScalerParts';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

type Parts = Pick<ScalerParts, 'clock' | 'table' | 'demand'>;

interface Engines {
  /** Engines of all failure domains that may be given work. */
  readonly all: readonly TargetView[];
  /** Those of this failure domain. */
  readonly own: readonly TargetView[];
  /** Engines of this failure domain that may not be given work any more. */
  readonly leaving: readonly TargetView[];
}

const sum = (values: Iterable<number>): number =>
  [...values].reduce((total, value) => total + value, 0);

/** Returns the number of requests on an engine. Those for an adapter are counted for its model, too. */
const runningOn = (id: string, { models }: EngineSpec, { running }: DemandSnapshot): number => {
  const counts = [...(running.get(id) ?? [])];
  return sum(counts.filter(([asset]) => models.has(asset)).map(([, count]) => count));
};

/** Observes what a service needs and has in one failure domain. */
class ServiceObserver {
  private readonly window = new ObservationWindow();

  /** When each model was last used or waited for. */
  private readonly usedAtMs = new Map<string, number>();

  constructor(
    private readonly pool: string,
    private readonly options: Pick<ScalerOptions, 'failureDomain'>,
    private readonly parts: Parts,
  ) {}

  get observations(): readonly Observation[] {
    return this.window.observations;
  }

  /** Forgets what was observed, so that a whole window has to be observed again. */
  clear(): void {
    this.window.clear();
  }

  /** Adds what is known now to a window of the given length. */
  observe(engine: EngineSpec, windowMs: number): void {
    const { clock, demand } = this.parts;
    const snapshot = demand.snapshot(this.pool);
    const { all, own, leaving } = this.engines;
    const waiting = sum(snapshot.waiting.map((one) => one.waiting));
    this.recordUse(engine, snapshot, windowMs);
    this.window.add(
      {
        atMs: clock.nowMs(),
        ready: own.length,
        leaving: leaving.length,
        places: sum(own.map(({ entry }) => entry.slots)),
        busy: sum([...own, ...leaving].map(({ entry }) => runningOn(entry.id, engine, snapshot))),
        // Each placer hears of all requests that wait, and counts its part of them.
        waiting: all.length === 0 ? 0 : (waiting * own.length) / all.length,
        ratePerS: sum(snapshot.modelRates.values()),
      },
      windowMs,
    );
  }

  /** What the models in use need, and what the engines have. */
  memory(engine: EngineSpec): ModelMemory {
    const { all } = this.engines;
    const used = [...this.usedAtMs.keys()];
    const soleCopies = () => this.soleCopies(used, all);
    return {
      inUseMb: sum(used.map((model) => engine.models.get(model)?.sizeMb ?? 0)),
      roomMb: all.length * engine.weightsMb,
      engineMb: engine.weightsMb,
      engines: all.length,
      failureDomains: new Set(all.map(({ entry }) => entry.failureDomain)).size,
      // Read only if an engine might be given up, because it looks at each model on each engine.
      get soleCopies() {
        return soleCopies();
      },
    };
  }

  private recordUse(engine: EngineSpec, snapshot: DemandSnapshot, windowMs: number): void {
    const nowMs = this.parts.clock.nowMs();
    const used = [
      ...snapshot.modelRates.keys(),
      ...snapshot.waiting.map(({ model }) => model),
      ...[...snapshot.running.values()].flatMap((counts) => [...counts.keys()]),
    ];
    used
      .filter((model) => engine.models.has(model))
      .forEach((model) => this.usedAtMs.set(model, nowMs));
    this.usedAtMs.forEach((atMs, model) => {
      if (nowMs - atMs > windowMs) this.usedAtMs.delete(model);
    });
  }

  private soleCopies(used: readonly string[], all: readonly TargetView[]): number {
    const isHeldBy = (model: string) => (view: TargetView) =>
      view.models.has(model) || hasCopy(view.entry, model);
    return used.filter((model) => {
      const holders = all.filter(isHeldBy(model));
      return holders.length === 1 && holders[0].entry.failureDomain === this.options.failureDomain;
    }).length;
  }

  private get engines(): Engines {
    const { table } = this.parts;
    const isOwn = ({ entry }: TargetView) => entry.failureDomain === this.options.failureDomain;
    const all = table.inService(this.pool);
    const own = all.filter(isOwn);
    const ready = new Set(own);
    const leaving = table
      .allTargets()
      .filter((view) => view.entry.pool === this.pool && isOwn(view) && !ready.has(view));
    return { all, own, leaving };
  }
}

export default ServiceObserver;
