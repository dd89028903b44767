import { createHash } from 'node:crypto';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import { type PathRoute, RouteSemantics, type WorkspaceSpec } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type CallerExchange from './CallerExchange';
import type RequestFields from './RequestFields';
import type EdgeParts from './EdgeParts';
import authorize from './authorize';
import choosePool from './choosePool';
import readBody from './readBody';

/** Callers of streams wait at least so long for an event. */
const LEAST_PATIENCE_MS = 2_000;

const notRun = (kind: ErrorKind, message: string, retryAfterMs?: number) =>
  Left(ServeError.notRun(kind, message, retryAfterMs));

const unitsOf = (workspace: WorkspaceSpec, fields: RequestFields): number =>
  workspace.countsTokens ? (fields.tokens ?? workspace.defaultTokens) : 1;

/** How long callers wait for an event before they leave. */
const patienceMs = ({
  semantics: nature,
  latencyTargetMs,
  gapTargetMs: pauseTargetMs,
}: PathRoute): number =>
  nature === RouteSemantics.Stream
    ? Math.max(LEAST_PATIENCE_MS, 4 * latencyTargetMs, 8 * pauseTargetMs)
    : Infinity;

const fingerprintOf = (path: string, workspace: WorkspaceSpec | null, body: Buffer): string =>
  createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${path}\n`)
    .update(body)
    .digest('base64');

/**
 * Reads a request and checks route, key, limits and quarantine.
 *
 * @example
 * const admitted = await admit(parts, exchange, fields, parts.clock.nowMs());
 */
const admit = async (
  parts: EdgeParts,
  exchange: CallerExchange,
  fields: RequestFields,
  arrivedMs: number,
): Promise<Either<ServeError, AdmittedRequest>> => {
  if (parts.clock.nowMs() >= parts.lastSendAtMs()) {
    return notRun(ErrorKind.Stopping, 'this instance is about to end');
  }
  const state = parts.desired();
  if (state === undefined) return notRun(ErrorKind.NoTarget, 'no desired state is known yet', 500);
  const { request } = exchange;
  const path = request.url ?? '/';
  const allowed = authorize(state, fields, path);
  if (allowed.isLeft()) return Left(allowed.extract());
  const { route, workspace } = allowed.unsafeCoerce();
  const read = await readBody(request, state.limits.maxBodyBytes);
  if (read.isLeft()) return Left(read.extract());
  const body = read.unsafeCoerce();
  const fingerprint = fingerprintOf(path, workspace, body);
  if (parts.crashes.isRefused(fingerprint)) {
    return notRun(ErrorKind.TargetFailed, 'the request has broken several targets');
  }
  const pool = state.pools.get(choosePool(route, Math.random()) ?? '');
  if (pool === undefined) return notRun(ErrorKind.RouteIncomplete, 'the route has no pool');
  const waitMs = workspace === null ? 0 : parts.limits.admit(workspace, unitsOf(workspace, fields));
  if (waitMs > 0) return notRun(ErrorKind.OverRate, 'the workspace is over its rate', waitMs);
  const deadlineAtMs = arrivedMs + Math.min(fields.deadlineMs ?? Infinity, route.timeoutMs);
  const patienceAtMs = Math.min(deadlineAtMs, arrivedMs + patienceMs(route));
  return Right({
    state,
    route,
    pool,
    workspace,
    fields,
    body,
    fingerprint,
    deadlineAtMs,
    patienceAtMs,
  });
};

export default admit;
