import type { IncomingMessage, ServerResponse } from 'node:http';
import type AdmittedRequest from './AdmittedRequest';
import CallerExchange from './CallerExchange';
import type EdgeParts from './EdgeParts';
import type RunEnd from './RunEnd';
import RequestRun from './RequestRun';
import admit from './admit';
import workspaceOfKey from './workspaceOfKey';

const STATUS_CLASS = 100;

const report = (
  { log, metrics }: EdgeParts,
  { route, workspace, state, fields }: AdmittedRequest,
  end: RunEnd,
  { tookMs, left }: { readonly tookMs: number; readonly left: boolean },
): void => {
  const outcome = end.error?.kind ?? `${Math.floor(end.status / STATUS_CLASS)}xx`;
  log.event('request_ended', {
    request: fields.attemptId,
    route: route.name,
    workspace: workspace?.name ?? '',
    model: fields.model,
    adapter: fields.adapter ?? '',
    tokens: fields.tokens ?? 0,
    outcome,
    status: end.status,
    target: end.target,
    sends: end.sends,
    waited_ms: end.waitedMs,
    took_ms: Math.round(tookMs),
    left,
    version: state.version,
  });
  metrics.requests.inc({ route: route.name, outcome });
  metrics.requestSeconds.observe({ route: route.name }, tookMs / 1_000);
  metrics.waitSeconds.observe(end.waitedMs / 1_000);
};

/**
 * Serves one request of a caller, and writes one line on it.
 *
 * @example
 * createServer((request, response) => void handleRequest(parts, request, response));
 */
const handleRequest = async (
  parts: EdgeParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const { clock, log, metrics, dialect } = parts;
  const arrivedMs = clock.nowMs();
  const caller = new CallerExchange(request, response, dialect, parts.isStopping);
  const fields = dialect.parseRequest(request.headers);
  const admitted = await admit(parts, caller, fields, arrivedMs);
  await admitted.caseOf({
    Left: async (error) => {
      caller.refuse(error, fields.attemptId);
      const desired = parts.desired();
      const version = desired?.version ?? 0;
      const { kind, message } = error;
      const workspace = workspaceOfKey(desired, fields.key)?.name ?? '';
      const tokens = fields.tokens ?? 0;
      const asked = { request: fields.attemptId, workspace, model: fields.model, tokens };
      log.event('request_refused', { ...asked, kind, message, version });
      metrics.requests.inc({ route: '', outcome: kind });
    },
    Right: async (checked) => {
      const end = await new RequestRun(parts, checked, caller).run();
      report(parts, checked, end, { tookMs: clock.nowMs() - arrivedMs, left: caller.gone.aborted });
    },
  });
};

export default handleRequest;
