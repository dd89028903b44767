import type EngineOutlook from './EngineOutlook';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import hasCopy from './hasCopy';

/**
 * Whether an engine that is busy, or not known yet, could load a model from a copy before the weight store
 * would.
 *
 * @example
 * copyIsSoon(views, spec, { nowMs, engineOf });
 */
const copyIsSoon = (
  views: readonly TargetView[],
  spec: ModelSpec | undefined,
  { nowMs, engineOf }: EngineOutlook,
): boolean => {
  if (spec === undefined) return false;
  const beforeMs = nowMs + spec.storeLoadMs - spec.diskLoadMs;
  return views.some(({ entry, busyUntilMs }) => {
    const own = engineOf(entry.id);
    if (!hasCopy(entry, spec.name)) return false;
    if (own === undefined) return busyUntilMs > nowMs && busyUntilMs < beforeMs;
    return !own.orders.isKnown || (own.isBusy && own.busyUntilMs < beforeMs);
  });
};

export default copyIsSoon;
