import type ScalingDecision from './ScalingDecision';
import ScalingReason from './ScalingReason';
import type ScalingView from './ScalingView';
import startingEngines from './startingEngines';
import sustainMs from './sustainMs';
import windowMs from './windowMs';

/** Fraction of the places in use above which engines are added. Beyond it, requests begin to be queued on the engines. */
const FULL_FRACTION = 0.85;
/** Fraction of the places that the lowest load is to fill afterwards; below `FULL_FRACTION`, so that one order is enough. */
const TARGET_FRACTION = 0.75;
/** Requests waiting for models that justify another engine, as a fraction of the places of one. */
const WAITING_FRACTION = 0.5;

/**
 * Returns the decision to add engines, or why none can be added though some are wanted; `undefined` if none is wanted.
 *
 * Answers a load that lasts: the lowest number of busy places since the beginning of the sustain window counts, so that
 * a burst that is shorter than the window adds nothing.
 *
 * @example
 * decideMore(view)?.desired; // 6
 */
const decideMore = (view: ScalingView): ScalingDecision | undefined => {
  const { limits, observations, memory, nowMs } = view;
  const { ready, places } = observations.at(-1)!;
  const placesPerEngine = places / ready;
  const starting = startingEngines(view);
  const expected = ready + starting;
  const since = (ms: number) => observations.filter(({ atMs }) => atMs >= nowMs - ms);

  const sustained = since(sustainMs(view));
  const lowestBusy = Math.min(...sustained.map(({ busy }) => busy));
  const isFull = lowestBusy > expected * placesPerEngine * FULL_FRACTION;
  const byLoad = isFull ? Math.ceil(lowestBusy / (placesPerEngine * TARGET_FRACTION)) : 0;

  const lowestWaiting = Math.min(...sustained.map(({ waiting }) => waiting));
  const missingMb = memory.inUseMb - memory.roomMb;
  const missingHere =
    missingMb > 0 && memory.engineMb > 0
      ? Math.round((missingMb / memory.engineMb) * (ready / Math.max(ready, memory.engines)))
      : 0;
  const isShortOfRoom =
    lowestWaiting >= placesPerEngine * WAITING_FRACTION && missingHere > starting;
  // One at a time: the first loads of a fresh engine come from the weight store, which all engines share.
  const byMemory = isShortOfRoom ? expected + 1 : 0;

  const isBelowMin = since(windowMs(view)).every((one) => one.ready < limits.min);
  const byMin = isBelowMin ? limits.min : 0;

  const wanted = Math.max(byLoad, byMemory, byMin);
  if (wanted <= expected) return undefined;
  const desired = Math.min(Math.max(wanted, limits.min), limits.max);
  if (desired <= expected) return { desired: undefined, reason: ScalingReason.AtMax };
  if (wanted === byLoad) return { desired, reason: ScalingReason.Load };
  return { desired, reason: wanted === byMemory ? ScalingReason.Memory : ScalingReason.BelowMin };
};

export default decideMore;
