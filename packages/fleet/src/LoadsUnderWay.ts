import type { Clock } from '@wisteriapath/model';
import type EngineRegistry from './EngineRegistry';
import type PlanningPass from './PlanningPass';
import type TargetTable from './TargetTable';
import type WaitingModel from './WaitingModel';
import LoadNeed from './LoadNeed';

interface Parts {
  readonly clock: Clock;
  readonly table: Pick<TargetTable, 'inService'>;
}

/** A load from a copy is worth an engine's time if the one under way takes this many times as long. */
const MIN_TIME_RATIO = 2;

/** The loads of models that are under way, at the engines of all placers. */
class LoadsUnderWay {
  constructor(
    private readonly parts: Parts,
    private readonly engines: Pick<EngineRegistry, 'loadEndsInMs'>,
  ) {}

  /** Whether a model is being loaded. */
  includes(pool: string, model: string): boolean {
    return this.endsInMs(pool, model) !== undefined;
  }

  /** Returns which load a model needs that requests wait for. */
  needOf(
    { pool, engine }: Pick<PlanningPass, 'pool' | 'engine'>,
    { model, isFromStore }: Pick<WaitingModel, 'model' | 'isFromStore'>,
  ): LoadNeed {
    const endsInMs = this.endsInMs(pool, model);
    if (endsInMs === undefined) return LoadNeed.AnyLoad;
    const { diskLoadMs } = engine.models.get(model)!;
    const isOvertaken = !isFromStore && endsInMs > diskLoadMs * MIN_TIME_RATIO;
    return isOvertaken ? LoadNeed.LoadFromCopy : LoadNeed.Nothing;
  }

  /** Returns the time until the first load of a model under way ends; undefined if there is none. */
  private endsInMs(pool: string, model: string): number | undefined {
    const nowMs = this.parts.clock.nowMs();
    const ownMs = this.engines.loadEndsInMs(model);
    const othersMs = this.parts.table
      .inService(pool)
      .filter(({ loading, busyUntilMs }) => loading === model && busyUntilMs > nowMs)
      .map(({ busyUntilMs }) => busyUntilMs - nowMs);
    const endsInMs = [...(ownMs === undefined ? [] : [ownMs]), ...othersMs];
    return endsInMs.length === 0 ? undefined : Math.min(...endsInMs);
  }
}

export default LoadsUnderWay;
