import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type DemandAggregator from './DemandAggregator';
import type DesiredState from './DesiredState';
import type DigestRow from './DigestRow';
import type EngineScaler from './EngineScaler';
import type EngineControl from './EngineControl';
import type EventLog from './EventLog';
import type LoadForecast from './LoadForecast';
import type PlacementUpdate from './PlacementUpdate';
import type TargetTable from './TargetTable';

/** What a placer uses. */
interface PlacerParts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly control: EngineControl;
  readonly table: TargetTable;
  readonly demand: DemandAggregator;
  readonly log: EventLog;
  readonly desired: () => DesiredState | undefined;
  /** Failure domains with an active placer, this one included. */
  readonly activeDomains: () => readonly string[];
  /** Sends placement updates to one instance, or to all if none is given. */
  readonly publish: (updates: readonly PlacementUpdate[], instance?: string) => void;
  /** Sends what is known of targets to the instances of the failure domain; absent where none is sent. */
  readonly sendDigest?: (rows: readonly DigestRow[]) => void;
  /** Orders the numbers of engines; absent where the settings do not call for it. */
  readonly scaler?: Pick<EngineScaler, 'run' | 'stop'> | undefined;
  /** Sends a forecast to an instance; only for deferring pools. */
  readonly publishForecast: (forecast: LoadForecast, instance: string) => void;
}

export default PlacerParts;
