import ScalingReason from './ScalingReason';
import type ScalingView from './ScalingView';
import hasEnoughReports from './hasEnoughReports';
import maxGapMs from './maxGapMs';
import windowMs from './windowMs';

/** Age of the list of engines up to which it is used; an engine that starts or drains writes its entry within a second. */
const MAX_VIEW_AGE_MS = 3_000;

const coversWindow = (view: ScalingView): boolean => {
  const { observations, nowMs } = view;
  const sinceMs = nowMs - windowMs(view);
  const gapMs = maxGapMs(windowMs(view));
  if (observations.length === 0 || observations[0].atMs > sinceMs) return false;
  const times = [...observations.map(({ atMs }) => Math.max(atMs, sinceMs)), nowMs];
  return times.slice(1).every((atMs, index) => atMs - times[index] <= gapMs);
};

/**
 * Returns why a view is no basis for an order; `undefined` if it is one.
 *
 * @example
 * findDoubt({ ...view, isStoreReachable: false }); // ScalingReason.StoreAway
 */
const findDoubt = (view: ScalingView): ScalingReason | undefined => {
  if (!view.isStoreReachable) return ScalingReason.StoreAway;
  if (!(view.viewAgeMs <= MAX_VIEW_AGE_MS)) return ScalingReason.ViewOld;
  if (!hasEnoughReports(view.reportingFraction)) return ScalingReason.ReportsMissing;
  if (view.isOutOfService) return ScalingReason.OutOfService;
  if (!coversWindow(view)) return ScalingReason.Observing;
  const { ready, places } = view.observations.at(-1)!;
  return ready > 0 && places > 0 ? undefined : ScalingReason.NoEngines;
};

export default findDoubt;
