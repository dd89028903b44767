import type Demand from './Demand';
import type EngineOutlook from './EngineOutlook';
import type TargetView from './TargetView';

/** Part of the engines that may load from the weight store while models wait that have copies. */
const STORE_PART_BUSY = 0.13;
/** Time left of a change from which it is a load from the weight store. */
const LONG_LOAD_MS = 1_000;

/**
 * Whether one more engine may be busy with the weight store: while models wait that have copies, only a
 * small part of all engines, as each could load several of those in the same time.
 *
 * @example
 * mayLoadLong(views, demand.waiting, { nowMs, engineOf });
 */
const mayLoadLong = (
  views: readonly TargetView[],
  waiting: readonly Demand[],
  { nowMs, engineOf }: EngineOutlook,
): boolean => {
  const isLong = ({ entry, busyUntilMs }: TargetView) =>
    (engineOf(entry.id)?.busyUntilMs ?? busyUntilMs) - nowMs > LONG_LOAD_MS;
  const under = views.filter(isLong).length;
  if (under < Math.max(1, Math.floor(views.length * STORE_PART_BUSY))) return true;
  return !waiting.some(({ model }) =>
    views.some(({ entry }) => entry.inMemory.has(model) || entry.onDisk.has(model)),
  );
};

export default mayLoadLong;
