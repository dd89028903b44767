import type EdgeMetrics from './EdgeMetrics';

interface Beliefs {
  readonly version: () => number;
  readonly targets: () => number;
  readonly isLeaseHeld: () => boolean;
  readonly instances: () => number;
}

/**
 * Shows what an instance believes in its metrics.
 *
 * @example
 * watchInstance(metrics, { version: () => 3, targets: () => 8, isLeaseHeld, instances });
 */
const watchInstance = (metrics: EdgeMetrics, beliefs: Beliefs): void => {
  metrics.gauge('desired_version', 'Version in force', beliefs.version);
  metrics.gauge('targets', 'Registered targets known', beliefs.targets);
  metrics.gauge('lease_held', 'Whether orders may be given', () => Number(beliefs.isLeaseHeld()));
  metrics.gauge('instances', 'Instances known to be at work', beliefs.instances);
};

export default watchInstance;
