import type { MemoryBudget } from '@wisteriapath/body-memory';
import type { Clock } from '@wisteriapath/model';
import type { SuspectRegistry } from '@wisteriapath/suspects';
import type { DesiredState, EventLog, TargetTable, WaitingRequests } from '@wisteriapath/fleet';
import type ColdTargetLimiter from './ColdTargetLimiter';
import type Dialect from './Dialect';
import type EdgeMetrics from './EdgeMetrics';
import type ModelRates from './ModelRates';
import type PoolRetryBudgets from './PoolRetryBudgets';
import type RequestDispatcher from './RequestDispatcher';
import type StopGate from './StopGate';
import type TargetConnections from './TargetConnections';
import type TargetLoads from './TargetLoads';
import type TargetProbe from './TargetProbe';
import type TargetSignals from './TargetSignals';
import type WorkspaceLimits from './WorkspaceLimits';

/** The components that request handling depends on. */
interface EdgeDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly dialect: Dialect;
  readonly failureDomain: string;
  readonly desired: () => DesiredState | undefined;
  readonly isStopping: () => boolean;
  /** Returns the time from which no request is sent to targets, because the process is shutting down. */
  readonly sendCutoffAtMs: () => number;
  /** Aborts at that time. */
  readonly sendCutoffSignal: AbortSignal;
  /** Decides which requests are still served during a shutdown. */
  readonly stopGate: StopGate;
  /** Aborts at the end of a shutdown, when requests in progress must be answered at once. */
  readonly stopSignal: AbortSignal;
  readonly table: TargetTable;
  readonly waiting: WaitingRequests;
  /** The requests of deferring pools that wait for a target. */
  readonly dispatcher: RequestDispatcher;
  readonly rates: ModelRates;
  readonly loads: TargetLoads;
  /** Counts a request that an engine has begun to answer; absent where the deployment does not report usage. */
  readonly recordUsage?: (workspace: string) => void;
  readonly coldTargetLimiter: ColdTargetLimiter;
  readonly limits: WorkspaceLimits;
  readonly retryBudgets: PoolRetryBudgets;
  /** The memory for the bodies of all exchanges. */
  readonly memory: MemoryBudget;
  readonly suspects: SuspectRegistry;
  readonly probe: TargetProbe;
  readonly connections: TargetConnections;
  readonly signals: TargetSignals;
  /** Returns this instance's share of the maximum number of connections to one target of a pool. */
  readonly connectionLimit: (maxConnections: number) => number;
}

export default EdgeDependencies;
