import type { DemandAggregator, TargetTable } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';

type Holders = Pick<EdgeDependencies, 'loads' | 'coldTargetLimiter' | 'connections'> & {
  readonly demand: DemandAggregator;
};

/**
 * Drops what is kept of targets that are no longer known.
 *
 * @example
 * retainKnownTargets(table, { loads, coldTargetLimiter, connections, demand });
 */
const retainKnownTargets = (
  table: TargetTable,
  { loads, coldTargetLimiter, connections, demand }: Holders,
): void => {
  const views = table.allTargets();
  const ids = new Set(views.map(({ entry }) => entry.id));
  loads.retain(ids);
  demand.speeds?.retain(ids);
  coldTargetLimiter.retain(ids);
  connections.retain(new Set(views.map(({ entry }) => entry.address)));
};

export default retainKnownTargets;
