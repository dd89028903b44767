import type { TargetView } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';

type Dependencies = Pick<
  EdgeDependencies,
  'clock' | 'table' | 'loads' | 'connectionLimit' | 'failureDomain'
>;

/** Cost of a target in another failure domain, as a fraction of its slots. */
const CROSS_DOMAIN_COST = 0.12;

/** Orders the targets that can take a request by their cost. */
class TargetRanking {
  constructor(private readonly deps: Dependencies) {}

  /** Returns the targets that can take a request, best first. */
  rank(
    { pool, fields }: AdmittedRequest,
    excluded: ReadonlyMap<string, number>,
  ): readonly TargetView[] {
    const { clock, table, loads, connectionLimit, failureDomain } = this.deps;
    const nowMs = clock.nowMs();
    const limit = connectionLimit(pool.maxConnections);
    const views =
      pool.engine === null
        ? table.inService(pool.name)
        : table.holding(pool.name, fields.model, fields.adapter);
    const usable = views.filter(
      ({ entry, pausedUntilMs }) =>
        (excluded.get(entry.id) ?? 0) <= nowMs &&
        pausedUntilMs <= nowMs &&
        loads.isReachable(entry.id) &&
        loads.ownRequests(entry.id) < limit,
    );
    const costs = usable.map((view) => {
      const domainCost = view.entry.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_COST;
      const coldCost = view.coldUntilMs > nowMs ? 1 : 0;
      return { view, cost: loads.cost(view.entry) + domainCost + coldCost + Math.random() * 0.01 };
    });
    costs.sort((one, other) => one.cost - other.cost);
    return costs.map(({ view }) => view);
  }
}

export default TargetRanking;
