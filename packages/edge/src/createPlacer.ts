import type { Clock } from '@wisteriapath/model';
import {
  type DemandAggregator,
  type EventLog,
  type Lease,
  type Peers,
  Placer,
  type TargetTable,
} from '@wisteriapath/fleet';
import type EdgeMetrics from './EdgeMetrics';
import type EdgeOptions from './EdgeOptions';
import type EdgePorts from './EdgePorts';
import type StoreView from './StoreView';
import createScaler from './createScaler';

interface Dependencies {
  readonly options: EdgeOptions;
  readonly ports: EdgePorts;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly lease: Lease;
  readonly table: TargetTable;
  readonly demand: DemandAggregator;
  readonly metrics: EdgeMetrics;
  readonly storeView: StoreView;
  readonly isStoreReachable: () => boolean;
  readonly peers: Peers;
}

const MAX_CONCURRENT_STORE_LOADS = 4;

/**
 * Creates the placer of an instance, which gives orders while the instance holds the lease of its failure domain.
 *
 * @example
 * const placer = createPlacer({ options, ports, lease, storeView, isStoreReachable, peers, ...deps });
 */
const createPlacer = (dependencies: Dependencies): Placer => {
  const { options, ports, lease, peers, storeView, ...deps } = dependencies;
  const { failureDomain, host } = options.member;
  const activeDomains = () => [...new Set([failureDomain, ...peers.placers.keys()])];
  return new Placer(
    {
      failureDomain,
      maxConcurrentStoreLoads: MAX_CONCURRENT_STORE_LOADS,
      weightStoreWindowMs: options.weightStoreWindowMs,
    },
    {
      ...deps,
      authority: lease,
      control: ports.engineControl,
      desired: () => storeView.desired,
      activeDomains,
      scaler: createScaler({ ...dependencies, authority: lease, activeDomains }),
      sendDigest: (rows) => peers.sendTargetDigest(rows),
      publish: (updates, instance) => {
        if (instance !== host) peers.sendPlacement(updates, instance);
      },
      publishForecast: (forecast, instance) => {
        if (instance === host) deps.table.forecasts.record(forecast);
        else peers.sendForecast(forecast, instance);
      },
    },
  );
};

export default createPlacer;
