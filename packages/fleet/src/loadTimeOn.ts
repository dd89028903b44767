import type LoadTime from './LoadTime';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';

/** Time for which a model that an engine has dropped counts as in its memory; entries tell of copies with a lag. */
const COPY_LAG_MS = 3_000;

/**
 * Returns the time in which one engine loads a model, once it is free.
 *
 * @example
 * loadTimeOn(view, spec, clock.nowMs()).ms; // 500 from its disk
 */
const loadTimeOn = (
  { entry, droppedAtMs }: TargetView,
  { name, memoryLoadMs, diskLoadMs, storeLoadMs }: ModelSpec,
  nowMs: number,
): LoadTime => {
  const wasDropped = (droppedAtMs.get(name) ?? -Infinity) > nowMs - COPY_LAG_MS;
  if (entry.inMemory.has(name) || wasDropped) return { ms: memoryLoadMs, isFromStore: false };
  if (entry.onDisk.has(name)) return { ms: diskLoadMs, isFromStore: false };
  return { ms: storeLoadMs, isFromStore: true };
};

export default loadTimeOn;
