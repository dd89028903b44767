import {
  type Authority,
  DutyKind,
  EngineScaler,
  type Peers,
  type PlacerParts,
  StoreTopic,
} from '@wisteriapath/fleet';
import type EdgeMetrics from './EdgeMetrics';
import type EdgeOptions from './EdgeOptions';
import type EdgePorts from './EdgePorts';
import type StoreView from './StoreView';

interface Dependencies extends Pick<
  PlacerParts,
  'clock' | 'log' | 'table' | 'demand' | 'activeDomains'
> {
  readonly options: EdgeOptions;
  readonly ports: EdgePorts;
  readonly authority: Authority;
  readonly metrics: EdgeMetrics;
  readonly storeView: Pick<StoreView, 'desired' | 'ageMs'>;
  readonly isStoreReachable: () => boolean;
  readonly peers: Peers;
}

/** Silence after which an instance no longer counts as active. */
const INSTANCE_TIMEOUT_MS = 12_000;

/**
 * Creates what orders the numbers of engines in the failure domain of an instance; `undefined` where the settings do
 * not call for it.
 *
 * @example
 * void createScaler({ options, ports, authority, ...deps })?.run();
 */
const createScaler = ({
  options,
  ports,
  metrics,
  storeView,
  peers,
  ...deps
}: Dependencies): EngineScaler | undefined => {
  const { duties, member } = options;
  const { dutyApi: api } = ports;
  if (api === undefined || !duties?.kinds.includes(DutyKind.Scaling)) return undefined;
  return new EngineScaler(
    { failureDomain: member.failureDomain, maxCallsPerS: duties.maxCallsPerS },
    {
      ...deps,
      api,
      desired: () => storeView.desired,
      viewAgeMs: () => storeView.ageMs(StoreTopic.Targets),
      instances: () => peers.instanceCount(INSTANCE_TIMEOUT_MS),
      onAnswer: (pool, answer) => metrics.scaleOrders.inc({ pool, answer }),
    },
  );
};

export default createScaler;
