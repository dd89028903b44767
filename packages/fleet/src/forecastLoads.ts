import { deferrableLatencyTargetMs } from '@wisteriapath/scheduling';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';
import loadTimeOn from './loadTimeOn';

interface Input {
  readonly nowMs: number;
  /** The engines of all placers. */
  readonly views: readonly TargetView[];
  /** Returns when an engine ends the change that it makes now. */
  readonly busyUntilMs: (view: TargetView) => number;
  readonly models: ReadonlyMap<string, ModelSpec>;
  /** The models that requests wait for and that are not being loaded, in the order in which they are to be loaded. */
  readonly ranked: readonly WaitingModel[];
}

/** When a load is expected to start and to end. */
interface ExpectedLoad {
  readonly model: string;
  readonly startsInMs: number;
  readonly readyInMs: number;
}

/** Time that the eviction before a load takes. */
const EVICTION_MS = 90;

/**
 * Whether the requests for a model still wait when its load could start. Those with a short objective leave once their slack is used
 * up; the others wait until their deadline.
 */
const isStillWanted = (
  { order, latencyTargetMs, leftMs }: WaitingModel,
  { startsInMs, readyInMs }: ExpectedLoad,
): boolean => {
  const isShort = latencyTargetMs < deferrableLatencyTargetMs;
  return isShort ? startsInMs <= (order?.slackMs ?? Infinity) : readyInMs <= leftMs;
};

/**
 * Returns when each model is expected to be loaded, if each goes in turn to the engine that has it first. It answers the load of more
 * models than the engines can load in the time that callers wait. The times are lower bounds as far as evictions, limits of the weight
 * store and later requests are concerned, so that no request is refused that could be served.
 *
 * @example
 * forecastLoads({ nowMs, views, busyUntilMs, models, ranked }).filter(({ readyInMs }) => readyInMs > 2_000);
 */
const forecastLoads = ({
  nowMs,
  views,
  busyUntilMs,
  models,
  ranked,
}: Input): readonly ExpectedLoad[] => {
  const freeInMs = new Map(
    views.map((view) => [view.entry.id, Math.max(0, busyUntilMs(view) - nowMs)]),
  );
  return ranked.flatMap((waiting) => {
    const spec = models.get(waiting.model);
    if (spec === undefined || views.length === 0) return [];
    const loads = views.map((view) => {
      const startsInMs = freeInMs.get(view.entry.id)!;
      const readyInMs = startsInMs + EVICTION_MS + loadTimeOn(view, spec, nowMs).ms;
      return { id: view.entry.id, model: spec.name, startsInMs, readyInMs };
    });
    const { id, ...first } = loads.reduce((best, one) =>
      one.readyInMs < best.readyInMs ? one : best,
    );
    if (isStillWanted(waiting, first)) freeInMs.set(id, first.readyInMs);
    return [first];
  });
};

export default forecastLoads;
