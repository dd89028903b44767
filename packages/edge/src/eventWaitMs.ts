import { type PathRoute, RouteSemantics } from '@wisteriapath/fleet';

/** Minimum time for which callers of streams wait for an event. */
const MIN_EVENT_WAIT_MS = 2_000;

/**
 * Returns the time for which callers wait for the first event of a stream, or the next one, before they disconnect; `Infinity` where
 * the answer is no stream.
 *
 * @example
 * eventWaitMs({ semantics: RouteSemantics.Stream, latencyTargetMs: 1_000, gapTargetMs: 100 }); // 4000
 */
const eventWaitMs = ({
  semantics,
  latencyTargetMs,
  gapTargetMs,
}: Pick<PathRoute, 'semantics' | 'latencyTargetMs' | 'gapTargetMs'>): number =>
  semantics === RouteSemantics.Stream
    ? Math.max(MIN_EVENT_WAIT_MS, 4 * latencyTargetMs, 8 * gapTargetMs)
    : Infinity;

export default eventWaitMs;
