import type { Clock } from '@wisteriapath/model';
import {
  type DemandAggregator,
  type DesiredState,
  type EventLog,
  type Lease,
  type Peers,
  Placer,
  type TargetTable,
} from '@wisteriapath/fleet';
import type EdgeOptions from './EdgeOptions';
import type EdgePorts from './EdgePorts';

interface Dependencies {
  readonly options: EdgeOptions;
  readonly ports: EdgePorts;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly lease: Lease;
  readonly table: TargetTable;
  readonly demand: DemandAggregator;
  readonly desired: () => DesiredState | undefined;
  readonly peers: Peers;
}

const MAX_CONCURRENT_STORE_LOADS = 4;

/**
 * Creates the placer of an instance, which gives orders while the instance holds the lease of its failure domain.
 *
 * @example
 * const placer = createPlacer({ options, ports, clock, log, lease, table, demand, desired, peers });
 */
const createPlacer = ({ options, ports, lease, peers, ...deps }: Dependencies): Placer => {
  const { failureDomain, host } = options.member;
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
      activeDomains: () => [...new Set([failureDomain, ...peers.placers.keys()])],
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
