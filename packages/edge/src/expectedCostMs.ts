import { RouteSemantics } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type TargetState from './TargetState';
import workUnits from './workUnits';

type Request = Pick<AdmittedRequest, 'route' | 'fields'> & {
  readonly pool: Pick<AdmittedRequest['pool'], 'engine'>;
};

/** Time to the first event as a fraction of the latency objective, as long as none has been measured. */
const UNMEASURED_FRACTION = 0.1;
/** Cost of another failure domain, as a fraction of the time to the first event. */
const CROSS_DOMAIN_FRACTION = 0.12;
/** Fraction of the gap target from which an expected pause begins to cost: estimates are off by about a fifth. */
const GAP_TOLERANCE = 0.8;
/** Lengthening of gaps by each request that runs in the same batch, as a fraction. */
const BATCH_SLOWDOWN = 0.003;
/** Utilization that is believed at most: a target may report an absurd number of requests. */
const MAX_UTILIZATION = 4;
/** Utilization from which waiting is expected: what is known of the load of a target is up to a second old. */
const QUEUE_UTILIZATION = 0.75;

/** Returns how certain it is that the pauses of a stream break the gap target: 0 to 1. */
const gapRisk = (gapTargetMs: number, slowGapMs: number | undefined): number => {
  if (gapTargetMs <= 0 || slowGapMs === undefined) return 0;
  const ratio = slowGapMs / gapTargetMs;
  return Math.max(0, Math.min(1, (ratio - GAP_TOLERANCE) / (1 - GAP_TOLERANCE)));
};

/**
 * Returns the cost of a target for a request in milliseconds: the expected time to the first event or response, with the time in
 * the target's queue, plus the latency objective as often as it is expected to be missed for other reasons.
 *
 * @example
 * expectedCostMs(request, { pace, slots: 16, utilization: 0.5, failureCost: 0, isCold: false, isOtherDomain: false, leftMs: 9_000 });
 */
const expectedCostMs = ({ route, fields, pool }: Request, target: TargetState): number => {
  const { pace, slots, failureCost, isCold, isOtherDomain, leftMs } = target;
  const isStreamed = route.semantics === RouteSemantics.Stream;
  const utilization = Math.min(MAX_UTILIZATION, target.utilization);
  const firstUnits = workUnits(fields, isStreamed);
  const usualMsPerUnit = (route.latencyTargetMs * UNMEASURED_FRACTION) / firstUnits;
  const msPerUnit = pace.firstMsPerUnit ?? usualMsPerUnit * pace.slowness;
  const firstMs = msPerUnit * firstUnits;
  const wholeMs = msPerUnit * workUnits(fields, false);
  const queue = Math.max(0, utilization + 1 / Math.max(1, slots) - QUEUE_UTILIZATION);
  const queueMs = queue * wholeMs;
  const batchFactor = pool.engine === null ? 1 : 1 + BATCH_SLOWDOWN * utilization * slots;
  const slowGapMs = pace.slowGapMs && pace.slowGapMs * batchFactor;
  const risk = isStreamed ? gapRisk(route.gapTargetMs, slowGapMs) : 0;
  const isTooLate = queueMs + wholeMs > leftMs;
  const misses = risk + failureCost + Number(isCold) + Number(isTooLate);
  const domainMs = isOtherDomain ? firstMs * CROSS_DOMAIN_FRACTION : 0;
  return firstMs * batchFactor + queueMs + domainMs + misses * route.latencyTargetMs;
};

export default expectedCostMs;
