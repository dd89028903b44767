import { RouteSemantics, type TargetView } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';
import expectedCostMs from './expectedCostMs';
import spreadBest from './spreadBest';

type Dependencies = Pick<
  EdgeDependencies,
  'clock' | 'table' | 'loads' | 'connectionLimit' | 'failureDomain'
>;

interface Candidate {
  readonly view: TargetView;
  readonly cost: number;
  /** Fraction of the slots in use, with penalties; decides between candidates of about the same cost. */
  readonly utilization: number;
}

/** Cost of a target in another failure domain, as a fraction of its slots. */
const CROSS_DOMAIN_COST = 0.12;
/** Upper bound of random differences that spread requests over equal targets, as a fraction of their slots. */
const SPREAD = 0.01;

/**
 * Orders the targets that can take a request. Where targets report how long work takes, by the expected time, which answers a
 * load where engines differ in speed and rarely queue; elsewhere by the fraction of their slots in use.
 */
class TargetRanking {
  constructor(
    private readonly deps: Dependencies,
    private readonly random: () => number = Math.random,
  ) {}

  /** Returns the targets that can take a request, best first. */
  rank(request: AdmittedRequest, excluded: ReadonlyMap<string, number>): readonly TargetView[] {
    const usable = this.usable(request, excluded);
    if (usable.length <= 1) return usable;
    const isTimed = this.deps.loads.pace.isReported(request.pool.name);
    const ranked = isTimed
      ? spreadBest(
          usable.map((view) => this.timed(view, request)),
          this.random,
        )
      : usable.map((view) => this.counted(view)).sort((one, other) => one.cost - other.cost);
    return ranked.map(({ view }) => view);
  }

  private usable(
    { pool, fields }: AdmittedRequest,
    excluded: ReadonlyMap<string, number>,
  ): readonly TargetView[] {
    const { clock, table, loads, connectionLimit } = this.deps;
    const nowMs = clock.nowMs();
    const limit = connectionLimit(pool.maxConnections);
    const views =
      pool.engine === null
        ? table.inService(pool.name)
        : table.holding(pool.name, fields.model, fields.adapter);
    return views.filter(
      ({ entry, pausedUntilMs }) =>
        (excluded.get(entry.id) ?? 0) <= nowMs &&
        pausedUntilMs <= nowMs &&
        loads.isReachable(entry.id) &&
        loads.ownRequests(entry.id) < limit,
    );
  }

  /** Weighs a target by the fraction of its slots in use. */
  private counted(view: TargetView): Candidate {
    const { clock, loads, failureDomain } = this.deps;
    const domainCost = view.entry.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_COST;
    const coldCost = view.coldUntilMs > clock.nowMs() ? 1 : 0;
    const cost = loads.cost(view.entry) + domainCost + coldCost + this.random() * SPREAD;
    return { view, cost, utilization: cost };
  }

  /** Weighs a target by the time that it is expected to take. */
  private timed(view: TargetView, request: AdmittedRequest): Candidate {
    const { clock, loads, failureDomain } = this.deps;
    const { entry, coldUntilMs } = view;
    const known = this.counted(view);
    const isStreamed = request.route.semantics === RouteSemantics.Stream;
    const ownUtilization = loads.utilization(entry);
    const sharedUtilization = loads.pace.sharedLoad(entry.id) / Math.max(1, entry.slots);
    const unknownUtilization = Math.max(0, sharedUtilization - ownUtilization);
    const cost = expectedCostMs(request, {
      pace: loads.pace.expect(entry.id, request.fields.model, isStreamed),
      slots: entry.slots,
      utilization: ownUtilization + unknownUtilization,
      failureCost: loads.failureCost(entry.id),
      isCold: coldUntilMs > clock.nowMs(),
      isOtherDomain: entry.failureDomain !== failureDomain,
      leftMs: request.deadlineAtMs - clock.nowMs(),
    });
    return { view, cost, utilization: known.utilization + unknownUtilization };
  }
}

export default TargetRanking;
