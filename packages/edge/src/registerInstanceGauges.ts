import type EdgeMetrics from './EdgeMetrics';

const MS_PER_S = 1_000;

interface InstanceState {
  readonly version: () => number;
  readonly targets: () => number;
  /** Time since the list of targets was known to be complete. */
  readonly targetsAgeMs: () => number;
  /** Time since the operator's records were known to be complete. */
  readonly operatorAgeMs: () => number;
  /** The oldest era of the store in which a topic is known. */
  readonly storeEra: () => number;
  readonly isLeaseHeld: () => boolean;
  readonly instances: () => number;
  /** Number of targets that are taken for slow. */
  readonly slowTargets: () => number;
  /** Number of parts and requests that are kept from targets. */
  readonly quarantinedTraits: () => number;
}

/**
 * Registers gauges for the state of an instance.
 *
 * @example
 * registerInstanceGauges(metrics, { version: () => 3, targets, targetsAgeMs, operatorAgeMs, storeEra, isLeaseHeld, instances, quarantinedTraits, slowTargets });
 */
const registerInstanceGauges = (metrics: EdgeMetrics, state: InstanceState): void => {
  metrics.gauge('desired_version', 'Version of the desired state in force', state.version);
  metrics.gauge('targets', 'Number of registered targets', state.targets);
  metrics.gauge(
    'targets_age_seconds',
    'Time since the list of targets was known to be complete',
    () => state.targetsAgeMs() / MS_PER_S,
  );
  metrics.gauge(
    'operator_records_age_seconds',
    "Time since the operator's records, such as the desired state, were known to be complete",
    () => state.operatorAgeMs() / MS_PER_S,
  );
  metrics.gauge(
    'store_era',
    'Era of the store in which its records are known; rises each time it comes back from an older copy',
    state.storeEra,
  );
  metrics.gauge('lease_held', 'Whether this instance holds the lease to issue orders', () =>
    Number(state.isLeaseHeld()),
  );
  metrics.gauge(
    'suspects_quarantined',
    'Number of prompt parts and requests that are kept from targets since these crashed',
    state.quarantinedTraits,
  );
  metrics.gauge(
    'slow_targets',
    'Number of targets that this instance last took for slow, where targets report how long work takes',
    state.slowTargets,
  );
  metrics.gauge('instances', 'Number of active instances, including this one', state.instances);
};

export default registerInstanceGauges;
