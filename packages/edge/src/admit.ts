import { type Either, Left, Right } from 'purify-ts';
import { readBody } from '@wisteriapath/body-memory';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import type { WorkspaceSpec } from '@wisteriapath/fleet';
import { EndReason } from '@wisteriapath/response-ends';
import { SuspectDecision } from '@wisteriapath/suspects';
import type AdmittedRequest from './AdmittedRequest';
import type CallerExchange from './CallerExchange';
import type EdgeDependencies from './EdgeDependencies';
import type RequestFields from './RequestFields';
import authorize from './authorize';
import choosePool from './choosePool';
import eventWaitMs from './eventWaitMs';
import suspectError from './suspectError';
import traitsOf from './traitsOf';
import waitOrderOf from './waitOrderOf';

const notRun = (kind: ErrorKind, message: string, retryAfterMs?: number) =>
  Left(ServeError.notExecuted(kind, message, retryAfterMs));

const unitsOf = (workspace: WorkspaceSpec, fields: RequestFields): number =>
  workspace.countsTokens ? (fields.tokens ?? workspace.defaultTokens) : 1;

/**
 * Reads a request and checks its route, key, size, rate limit and whether it may crash targets.
 *
 * @example
 * const admitted = await admit(deps, exchange, fields, deps.clock.nowMs());
 */
const admit = async (
  deps: EdgeDependencies,
  exchange: CallerExchange,
  fields: RequestFields,
  arrivedMs: number,
): Promise<Either<ServeError, AdmittedRequest>> => {
  const lateRefusal = deps.stopGate.lateRefusal();
  if (lateRefusal !== undefined) return Left(lateRefusal);
  const state = deps.desired();
  if (state === undefined) return notRun(ErrorKind.NoTarget, 'no desired state is known yet', 500);
  const { request } = exchange;
  const path = request.url ?? '/';
  const allowed = authorize(state, fields, path);
  if (allowed.isLeft()) return Left(allowed.extract());
  const { route, workspace } = allowed.unsafeCoerce();
  const pool = state.pools.get(choosePool(route, Math.random()) ?? '');
  if (pool === undefined) return notRun(ErrorKind.RouteIncomplete, 'the route has no pool');
  const deadlineAtMs = arrivedMs + Math.min(fields.deadlineMs ?? Infinity, route.timeoutMs);
  const timed = { route, pool, fields, deadlineAtMs };
  const stopRefusal = deps.stopGate.refusal(timed);
  if (stopRefusal !== undefined) return Left(stopRefusal);
  const read = await readBody(request, {
    limitBytes: state.limits.maxBodyBytes,
    body: exchange.body,
    stopSignal: deps.sendCutoffSignal,
    cut: () => exchange.abort(EndReason.BodyUnfinished),
  });
  if (read.isLeft()) return Left(read.extract());
  const body = read.unsafeCoerce();
  const refusalAfterBody = deps.stopGate.refusal(timed);
  if (refusalAfterBody !== undefined) return Left(refusalAfterBody);
  const traits = traitsOf(workspace?.name ?? '', path, body, fields.sharedParts);
  const { decision, waitMs: suspectWaitMs } = deps.suspects.check(traits);
  if (decision === SuspectDecision.Refused) return Left(suspectError(suspectWaitMs));
  const waitMs = workspace === null ? 0 : deps.limits.admit(workspace, unitsOf(workspace, fields));
  if (waitMs > 0) return notRun(ErrorKind.OverRate, 'the workspace is over its rate', waitMs);
  const firstEventDeadlineAtMs = Math.min(deadlineAtMs, arrivedMs + eventWaitMs(route));
  return Right({
    state,
    route,
    pool,
    workspace,
    fields,
    body,
    traits,
    deadlineAtMs,
    firstEventDeadlineAtMs,
    waitOrder: waitOrderOf(state, { pool: pool.name, route, workspace }),
  });
};

export default admit;
