import type AdmittedRequest from './AdmittedRequest';
import type CallerExchange from './CallerExchange';
import type EdgeDependencies from './EdgeDependencies';
import RequestExecution from './RequestExecution';
import type RequestResult from './RequestResult';
import admit from './admit';
import workspaceOfKey from './workspaceOfKey';

const STATUS_CLASS = 100;

/** Writes the log line and the metrics of a request that was admitted. */
const recordEnd = (
  { log, metrics }: EdgeDependencies,
  { route, workspace, state, fields }: AdmittedRequest,
  end: RequestResult,
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
    target: end.lastTargetId,
    // Empty where the caller got the response of a target.
    ran: end.error?.ran ?? '',
    refusals: end.refusals,
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
 * Serves one request of a caller, and writes one log line about its result.
 *
 * @example
 * void handleRequest(deps, new CallerExchange(request, response, deps.dialect, connection, body));
 */
const handleRequest = async (deps: EdgeDependencies, caller: CallerExchange): Promise<void> => {
  const { clock, log, metrics, dialect } = deps;
  const arrivedMs = clock.nowMs();
  const fields = dialect.parseRequest(caller.request.headers);
  const admitted = await admit(deps, caller, fields, arrivedMs);
  await admitted.caseOf({
    Left: async (error) => {
      caller.sendError(error, fields.attemptId);
      const desired = deps.desired();
      const version = desired?.version ?? 0;
      const { kind, message } = error;
      const workspace = workspaceOfKey(desired, fields.key)?.name ?? '';
      const tokens = fields.tokens ?? 0;
      const common = { request: fields.attemptId, workspace, model: fields.model, tokens };
      log.event('request_refused', { ...common, kind, message, version });
      metrics.requests.inc({ route: '', outcome: kind });
    },
    Right: async (admittedRequest) => {
      const end = await new RequestExecution(deps, admittedRequest, caller).run();
      recordEnd(deps, admittedRequest, end, {
        tookMs: clock.nowMs() - arrivedMs,
        left: caller.disconnectSignal.aborted,
      });
    },
  });
};

export default handleRequest;
