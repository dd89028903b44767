import { RouteSemantics } from '@wisteriapath/fleet';
import type TimedRequest from '../../src/TimedRequest';

/**
 * Returns a request of which only matters how long it may take.
 *
 * @example
 * gate.decide(requestOf({ outputTokens: 20 }));
 */
const requestOf = ({
  outputTokens = null,
  estimatedTokens = null,
  semantics = RouteSemantics.Stream,
  deadlineAtMs = 20_000,
  model = 'm',
  gapTargetMs = 0,
}: {
  readonly outputTokens?: number | null;
  readonly estimatedTokens?: number | null;
  readonly semantics?: RouteSemantics;
  readonly deadlineAtMs?: number;
  readonly model?: string;
  readonly gapTargetMs?: number;
}): TimedRequest =>
  ({
    route: { name: 'write', semantics, latencyTargetMs: 300, gapTargetMs },
    pool: { name: 'engines' },
    fields: { attemptId: 'a', model, outputTokens, estimatedTokens },
    deadlineAtMs,
  }) as unknown as TimedRequest;

export default requestOf;
