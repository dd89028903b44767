import type DesiredState from './DesiredState';
import RouteSemantics from './RouteSemantics';

/**
 * Returns the shortest gap target of the streams that a pool serves; 0 if none has one.
 *
 * @example
 * gapTargetOf(desired, 'guides'); // 200
 */
const gapTargetOf = ({ routes }: Pick<DesiredState, 'routes'>, pool: string): number => {
  const targetsMs = routes
    .filter(({ semantics, pools }) => {
      const isServed = pools.some(({ name, weight }) => name === pool && weight > 0);
      return isServed && semantics === RouteSemantics.Stream;
    })
    .map(({ gapTargetMs }) => gapTargetMs)
    .filter((gapTargetMs) => gapTargetMs > 0);
  return targetsMs.length === 0 ? 0 : Math.min(...targetsMs);
};

export default gapTargetOf;
