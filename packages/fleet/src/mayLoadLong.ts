import type Demand from './Demand';
import type EngineOutlook from './EngineOutlook';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

interface Engines {
  /** Those of all placers. */
  readonly all: readonly TargetView[];
  /** Those of this placer, and how many of them are free. */
  readonly own: number;
  readonly free: number;
}

/** Part of the own engines that must be free for a load from the weight store to hold up nobody. */
const MOSTLY_FREE_PART = 0.5;
/** Part of the engines that may load from the weight store while models wait that have copies. */
const STORE_PART_BUSY = 0.13;
/** Time left of a change from which it is a load from the weight store. */
const LONG_LOAD_MS = 1_000;

/**
 * Whether one more engine may be busy with the weight store. While most own engines are busy and models
 * wait that have copies, only a small part of all engines may, as each could load several of those in
 * the same time.
 *
 * @example
 * mayLoadLong({ all, own: 3, free: 1 }, demand.waiting, { nowMs, engineOf });
 */
const mayLoadLong = (
  { all, own, free }: Engines,
  waiting: readonly Demand[],
  { nowMs, engineOf }: EngineOutlook,
): boolean => {
  if (free > own * MOSTLY_FREE_PART) return true;
  const isLong = ({ entry, busyUntilMs }: TargetView) =>
    (engineOf(entry.id)?.busyUntilMs ?? busyUntilMs) - nowMs > LONG_LOAD_MS;
  const under = all.filter(isLong).length;
  if (under < Math.max(1, Math.floor(all.length * STORE_PART_BUSY))) return true;
  return !waiting.some(({ model }) => all.some(({ entry }) => hasCopy(entry, model)));
};

export default mayLoadLong;
