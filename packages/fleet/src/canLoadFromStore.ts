import type Demand from './Demand';
import type EngineSnapshot from './EngineSnapshot';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

interface EngineCounts {
  /** The engines of all placers. */
  readonly all: readonly TargetView[];
  /** Number of engines that this placer controls. */
  readonly own: number;
  /** Number of those that are free. */
  readonly free: number;
}

/** Share of the own engines that must be free so that a load from the weight store delays no other load. */
const MOSTLY_FREE_SHARE = 0.5;
/** Share of all engines that may load from the weight store while requests wait for models with copies. */
const BUSY_STORE_LOAD_SHARE = 0.13;
/** Remaining time from which a change counts as a load from the weight store. */
const LONG_LOAD_MS = 1_000;

/**
 * Returns whether one more engine may load from the weight store without regard to what the load is worth. While most
 * own engines are busy and requests wait for models with copies, only a small share of all engines may, because each
 * could load several of those models in the same time.
 *
 * @example
 * canLoadFromStore({ all, own: 3, free: 1 }, demand.waiting, { nowMs, engineOf });
 */
const canLoadFromStore = (
  { all, own, free }: EngineCounts,
  waiting: readonly Demand[],
  { nowMs, engineOf }: EngineSnapshot,
): boolean => {
  if (free > own * MOSTLY_FREE_SHARE) return true;
  const isLong = ({ entry, busyUntilMs }: TargetView) =>
    (engineOf(entry.id)?.busyUntilMs ?? busyUntilMs) - nowMs > LONG_LOAD_MS;
  const longLoads = all.filter(isLong).length;
  if (longLoads < Math.max(1, Math.floor(all.length * BUSY_STORE_LOAD_SHARE))) return true;
  return !waiting.some(({ model }) => all.some(({ entry }) => hasCopy(entry, model)));
};

export default canLoadFromStore;
