import type { TargetTable } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';

type Holders = Pick<EdgeDependencies, 'loads' | 'coldTargetLimiter' | 'connections'>;

/**
 * Drops what is kept of targets that are no longer known.
 *
 * @example
 * retainKnownTargets(table, { loads, coldTargetLimiter, connections });
 */
const retainKnownTargets = (
  table: TargetTable,
  { loads, coldTargetLimiter, connections }: Holders,
): void => {
  const views = table.allTargets();
  const ids = new Set(views.map(({ entry }) => entry.id));
  loads.retain(ids);
  coldTargetLimiter.retain(ids);
  connections.retain(new Set(views.map(({ entry }) => entry.address)));
};

export default retainKnownTargets;
