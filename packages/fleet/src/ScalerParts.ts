import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type DemandAggregator from './DemandAggregator';
import type DesiredState from './DesiredState';
import type DutyAnswer from './DutyAnswer';
import type DutyApi from './DutyApi';
import type EventLog from './EventLog';
import type TargetTable from './TargetTable';

/** What the scaling of engines uses. */
interface ScalerParts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly api: Pick<DutyApi, 'orderCapacity'>;
  readonly table: TargetTable;
  readonly demand: DemandAggregator;
  readonly log: EventLog;
  readonly desired: () => DesiredState | undefined;
  /** Returns the time since the list of targets was known to be complete. */
  readonly viewAgeMs: () => number;
  readonly isStoreReachable: () => boolean;
  /** Returns the number of active instances, this one included. */
  readonly instances: () => number;
  /** Failure domains with an active placer, this one included. */
  readonly activeDomains: () => readonly string[];
  /** Called with the outcome of each order. */
  readonly onAnswer: (pool: string, answer: DutyAnswer) => void;
}

export default ScalerParts;
