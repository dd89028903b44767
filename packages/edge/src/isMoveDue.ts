interface StreamEnd {
  /** When the target is gone, whatever it runs; `Infinity` if that is not known. */
  readonly goneAtMs: number;
  /** When the stream is expected to end. */
  readonly expectedEndMs: number;
}

/**
 * How long before its target is gone a stream is moved. An engine's report is up to 0.6 s old, questions are put every
 * 0.15 s and streams are checked every 0.25 s, so that the end of the run is known while the engine still answers.
 */
const MOVE_LEAD_MS = 1_000;

/**
 * Whether a stream is to be moved now, because its target is gone before it ends. One that should have ended already
 * has no known end, and is moved as well.
 *
 * @example
 * isMoveDue({ goneAtMs: 5_000, expectedEndMs: 7_000 }, 4_200); // true
 */
const isMoveDue = ({ goneAtMs, expectedEndMs }: StreamEnd, nowMs: number): boolean => {
  const endsInTime = nowMs <= expectedEndMs && expectedEndMs <= goneAtMs;
  return nowMs >= goneAtMs - MOVE_LEAD_MS && !endsInTime;
};

export default isMoveDue;
