import type { Clock } from '@wisteriapath/model';
import type DemandSnapshot from './DemandSnapshot';
import type EngineRegistry from './EngineRegistry';
import type EngineSpec from './EngineSpec';
import type EventLog from './EventLog';
import type LoadForecast from './LoadForecast';
import type TargetTable from './TargetTable';
import type WaitingModel from './WaitingModel';
import assetId from './assetId';
import forecastLoads from './forecastLoads';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: Pick<TargetTable, 'inService'>;
  readonly publishForecast: (forecast: LoadForecast, instance: string) => void;
}

interface Pass {
  readonly pool: string;
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
}

/** Interval of forecasts; an instance uses one for 2 s, so that three may be lost. */
const FORECAST_INTERVAL_MS = 500;
/**
 * Models named in the forecasts of one interval, over all instances. With about 40 bytes each, a placer sends 2.4 KB a second,
 * whatever the number of instances and models.
 */
const MAX_MODELS = 30;

/** Returns the instances whose requests wait for a model or for an adapter of it. */
const waitingInstances = (
  { waiting, waitingInstances: instances }: DemandSnapshot,
  model: string,
): readonly string[] => [
  ...new Set(
    waiting
      .filter((demand) => demand.model === model)
      .flatMap(({ adapter }) => instances.get(assetId(model, adapter)) ?? []),
  ),
];

/** Tells instances when loads that were put off are expected to end, where that is too late for some of their requests. */
class LoadForecaster {
  private readonly lastMs = new Map<string, number>();

  constructor(
    private readonly parts: Parts,
    /** Failure domain of the placer. */
    private readonly placer: string,
    private readonly engines: Pick<EngineRegistry, 'get'>,
  ) {}

  /** Sends a forecast if one is due. `ranked` are the waiting models that are not being loaded, in order. */
  update({ pool, engine, demand }: Pass, ranked: readonly WaitingModel[]): void {
    const { clock, log, table, publishForecast } = this.parts;
    const nowMs = clock.nowMs();
    if (ranked.length === 0) return;
    if (nowMs - (this.lastMs.get(pool) ?? -Infinity) < FORECAST_INTERVAL_MS) return;
    this.lastMs.set(pool, nowMs);
    const slacksMs = new Map(ranked.map(({ model, order }) => [model, order?.slackMs ?? Infinity]));
    const late = forecastLoads({
      nowMs,
      views: table.inService(pool),
      busyUntilMs: ({ entry, busyUntilMs }) =>
        this.engines.get(entry.id)?.busyUntilMs ?? busyUntilMs,
      models: engine.models,
      ranked,
    })
      .filter(({ model, startsInMs }) => startsInMs > slacksMs.get(model)!)
      .slice(0, MAX_MODELS);
    if (late.length === 0) return;
    const byInstance = new Map<string, [string, number][]>();
    let rows = 0;
    late.forEach(({ model, readyInMs }) => {
      const instances = waitingInstances(demand, model);
      instances.slice(0, MAX_MODELS - rows).forEach((instance) => {
        const models = byInstance.get(instance) ?? [];
        byInstance.set(instance, models);
        models.push([model, Math.round(readyInMs)]);
        rows += 1;
      });
    });
    byInstance.forEach((models, instance) =>
      publishForecast({ placer: this.placer, pool, models }, instance),
    );
    log.event('load_forecast', {
      pool,
      waiting: ranked.length,
      late: late.length,
      instances: byInstance.size,
      longest_ms: Math.round(Math.max(...late.map(({ readyInMs }) => readyInMs))),
    });
  }
}

export default LoadForecaster;
