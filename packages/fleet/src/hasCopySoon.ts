import type EngineSnapshot from './EngineSnapshot';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

/**
 * Returns whether an engine that is busy now, or whose state is not known yet, could load a model from its copy
 * before a load from the weight store would end.
 *
 * @example
 * hasCopySoon(views, spec, { nowMs, engineOf });
 */
const hasCopySoon = (
  views: readonly TargetView[],
  spec: ModelSpec | undefined,
  { nowMs, engineOf }: EngineSnapshot,
): boolean => {
  if (spec === undefined) return false;
  const storeDeadlineMs = nowMs + spec.storeLoadMs - spec.diskLoadMs;
  return views.some(({ entry, busyUntilMs }) => {
    const engine = engineOf(entry.id);
    if (!hasCopy(entry, spec.name)) return false;
    if (engine === undefined) return busyUntilMs > nowMs && busyUntilMs < storeDeadlineMs;
    return !engine.executor.isStateKnown || (engine.isBusy && engine.busyUntilMs < storeDeadlineMs);
  });
};

export default hasCopySoon;
