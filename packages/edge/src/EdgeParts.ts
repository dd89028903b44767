import type { Clock } from '@wisteriapath/model';
import type { DesiredState, EventLog, TargetTable, WaitingRequests } from '@wisteriapath/fleet';
import type ColdGate from './ColdGate';
import type CrashCounts from './CrashCounts';
import type Dialect from './Dialect';
import type EdgeMetrics from './EdgeMetrics';
import type ModelRates from './ModelRates';
import type RepeatBudget from './RepeatBudget';
import type TargetConnections from './TargetConnections';
import type TargetLoads from './TargetLoads';
import type WorkspaceLimits from './WorkspaceLimits';

/** What the path of a request uses. */
interface EdgeParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly dialect: Dialect;
  readonly failureDomain: string;
  readonly desired: () => DesiredState | undefined;
  readonly isStopping: () => boolean;
  /** When nothing more is sent to targets, as the process is about to end. */
  readonly lastSendAtMs: () => number;
  readonly table: TargetTable;
  readonly waiting: WaitingRequests;
  readonly rates: ModelRates;
  readonly loads: TargetLoads;
  readonly coldGate: ColdGate;
  readonly limits: WorkspaceLimits;
  readonly repeats: RepeatBudget;
  readonly crashes: CrashCounts;
  readonly connections: TargetConnections;
  /** Most connections of this instance to one target of a pool. */
  readonly connectionLimit: (maxConnections: number) => number;
  /** Tells the peers that a target broke off under a request. */
  readonly shareCrash: (fingerprint: string, target: string) => void;
}

export default EdgeParts;
