/** A model or adapter that requests wait for, and what a load of it takes. */
interface Candidate {
  readonly waiting: number;
  /** Time that the oldest of them has waited. */
  readonly waitedMs: number;
  /** Time since the model was first asked for in vain. */
  readonly unservedMs: number;
  readonly latencyTargetMs: number;
  /** Time until the last of the waiting requests can no longer be served. */
  readonly leftMs?: number;
  /** Expected arrivals. */
  readonly ratePerS: number;
  /** Time for which the load occupies an engine. */
  readonly loadMs: number;
}

/** Weight of a request that misses its latency target, relative to one that can still meet it. */
const LATE_REQUEST_WEIGHT = 0.2;
/** Time asked for in vain that adds as much to the worth of a load as one request that can meet its target; more adds nothing. */
const FULL_WEIGHT_WAIT_MS = 8_000;
/** Time for which a loaded model serves arrivals before others displace it. */
const USE_S = 2;
/** Time that the eviction before a load takes. */
const EVICTION_MS = 150;

/**
 * Returns what a load is worth: the requests that it serves, by the seconds for which it occupies an engine. It answers
 * the load of days on which more models are asked for than the engines hold: short loads for a single request then
 * compete for the engines with long ones for many.
 *
 * @example
 * loadWorth({ waiting: 1, waitedMs: 0, unservedMs: 0, latencyTargetMs: 600, ratePerS: 4, loadMs: 6_000 });
 */
const loadWorth = ({
  waiting,
  waitedMs,
  unservedMs,
  latencyTargetMs,
  leftMs = Infinity,
  ratePerS,
  loadMs,
}: Candidate): number => {
  const isInTime = latencyTargetMs - waitedMs > loadMs;
  const servable = leftMs > loadMs ? waiting * (isInTime ? 1 : LATE_REQUEST_WEIGHT) : 0;
  const patience = Math.min(1, Math.max(waitedMs, unservedMs) / FULL_WEIGHT_WAIT_MS);
  const served = servable + ratePerS * USE_S + patience;
  return (served * 1_000) / (loadMs + EVICTION_MS);
};

export default loadWorth;
