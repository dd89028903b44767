import type AdmittedRequest from './AdmittedRequest';
import type TargetSearch from './TargetSearch';
import eventWaitMs from './eventWaitMs';

interface Progress {
  readonly nowMs: number;
  /** Since when a caller whose response has begun gets nothing, on the monotonic clock; undefined if it has not begun. */
  readonly quietSinceMs: number | undefined;
}

/** Time before the deadline at which a request that could not be sent is refused. */
const REFUSAL_MARGIN_MS = 60;
/** Fraction of the latency target for which a request waits for a target of a pool of services. */
const SERVICE_WAIT_FRACTION = 0.5;

/**
 * Returns when a search for a target that begins now ends, and when the caller leaves. A stream that has begun cannot be refused any
 * more.
 *
 * @example
 * const { untilMs } = searchTimes(request, { nowMs: clock.nowMs(), quietSinceMs: undefined });
 */
const searchTimes = (
  { deadlineAtMs, firstEventDeadlineAtMs, pool, route }: AdmittedRequest,
  { nowMs, quietSinceMs }: Progress,
): Pick<TargetSearch, 'untilMs' | 'leavesAtMs' | 'hasBegun'> => {
  const hasBegun = quietSinceMs !== undefined;
  const leavesAtMs = hasBegun
    ? Math.min(deadlineAtMs, quietSinceMs + eventWaitMs(route))
    : firstEventDeadlineAtMs;
  const lastMs = hasBegun ? leavesAtMs : leavesAtMs - REFUSAL_MARGIN_MS;
  const serviceUntilMs = nowMs + route.latencyTargetMs * SERVICE_WAIT_FRACTION;
  const untilMs = pool.engine === null ? Math.min(lastMs, serviceUntilMs) : lastMs;
  return { untilMs, leavesAtMs, hasBegun };
};

export default searchTimes;
