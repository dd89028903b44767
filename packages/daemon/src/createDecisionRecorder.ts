import { AppendResult, encodeEnvelope } from '@wisteriapath/log-client';
import type { DecisionEvent } from '@wisteriapath/placement';
import type InstanceComponents from './InstanceComponents';

const RECORD_TIMEOUT_MS = 500;

/**
 * Returns a function that logs a placement decision and appends it to the decisions stream of the
 * failure domain. It waits at most `RECORD_TIMEOUT_MS`, so that the placer goes on when the log is down.
 *
 * @example
 * const record = createDecisionRecorder(components);
 */
const createDecisionRecorder = (
  components: InstanceComponents,
): ((event: DecisionEvent) => Promise<void>) => {
  const { log, ids, self, clock, logger, metrics } = components;
  const stream = `decisions-${self.failureDomain}`;
  return async (event) => {
    logger.info(event, 'placement_decision');
    metrics.placementDecisions.inc({ kind: event.kind, reason: event.reason });
    const payload = encodeEnvelope({ id: ids.next(), body: event });
    const appended = log.append(stream, [payload]);
    const timeout = clock.sleep(RECORD_TIMEOUT_MS).then(() => AppendResult.Unknown);
    const result = await Promise.race([appended, timeout]);
    if (result !== AppendResult.Appended) {
      logger.warn({ decision: event.decision, result }, 'decision_not_recorded');
    }
  };
};

export default createDecisionRecorder;
