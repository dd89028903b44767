import ScalingReason from './ScalingReason';
import type ScalingView from './ScalingView';
import startingEngines from './startingEngines';
import windowMs from './windowMs';

/** Fraction of the places of the engines that stay which the peak of the window may fill. */
const PEAK_FRACTION = 0.5;
/** Fraction of the memory of the engines that stay which the models in use may fill; the rest is for replicas. */
const MEMORY_FRACTION = 0.8;
/** Ratio of the present rate to the mean of the window above which demand rises. */
const RISING_RATIO = 1.2;

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Returns why every engine of a failure domain is needed; `undefined` if one can be given up.
 *
 * @example
 * findNeed({ ...view, memory: { ...view.memory, soleCopies: 1 } }); // ScalingReason.SoleCopy
 */
const findNeed = (view: ScalingView): ScalingReason | undefined => {
  const { limits, observations, ordered, memory, nowMs } = view;
  const { ready, places, ratePerS } = observations.at(-1)!;
  const staying = ready - 1;
  if (staying < Math.max(1, limits.min)) return ScalingReason.AtMin;
  if (staying > limits.max) return ScalingReason.AboveMax;

  const inWindow = observations.filter(({ atMs }) => atMs >= nowMs - windowMs(view));
  const isOrderNew = ordered !== undefined && nowMs - ordered.atMs < windowMs(view);
  const isUnsettled = inWindow.some((one) => one.leaving > 0 || one.ready !== ready);
  if (isOrderNew || isUnsettled || startingEngines(view) > 0) return ScalingReason.Settling;

  const rates = inWindow.map((one) => one.ratePerS);
  const peak = Math.max(...inWindow.map(({ busy, waiting }) => busy + waiting));
  if (peak === 0 && Math.max(...rates) === 0) return ScalingReason.NoDemand;
  if (peak > (places / ready) * staying * PEAK_FRACTION) return ScalingReason.Peak;
  if (ratePerS > mean(rates) * RISING_RATIO) return ScalingReason.Rising;

  if (memory.soleCopies > 0) return ScalingReason.SoleCopy;
  // Each failure domain may decide the same at this moment.
  const leftMb = memory.roomMb - memory.failureDomains * memory.engineMb;
  return memory.inUseMb > leftMb * MEMORY_FRACTION ? ScalingReason.ModelsNeedRoom : undefined;
};

export default findNeed;
