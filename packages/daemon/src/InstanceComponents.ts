import type { Logger } from 'pino';
import type { ConfigView } from '@wisteriapath/admission';
import type { MemoryBudget } from '@wisteriapath/body-memory';
import type { ConfigCheckpoints, ConfigState, Settings } from '@wisteriapath/config';
import type {
  BudgetHome,
  BudgetLink,
  RoleHolder,
  RoleElector,
  RolesState,
} from '@wisteriapath/ledger';
import type { HttpLog, LogPort, RecordIds, StreamReplica } from '@wisteriapath/log-client';
import type { Clock, RetryBudget } from '@wisteriapath/model';
import type {
  DeathProver,
  HttpInstanceList,
  PeerClients,
  PeerMesh,
  RelayedStreams,
} from '@wisteriapath/peer';
import type { HttpTargetControl, Placer, PlacerLink } from '@wisteriapath/placement';
import type {
  ClaimRegistry,
  ClaimsState,
  GuardedTargetClient,
  PoisonRegistry,
  SlotAcquirer,
  ServiceCall,
  TargetClient,
} from '@wisteriapath/routing';
import type RouteQueues from './RouteQueues';
import type Metrics from './Metrics';
import type WorkspaceBudgets from './WorkspaceBudgets';
import type RoleDirectory from './RoleDirectory';

/** The components of an entry instance, by the names under which awilix injects them. */
interface InstanceComponents {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Memory for the bodies of callers' requests. */
  readonly bodyMemory: MemoryBudget;
  readonly ids: RecordIds;
  /** This process as a possible holder of roles. */
  readonly self: RoleHolder;

  /** The HTTP client of the log service; `log` batches appends on top of it. */
  readonly httpLog: HttpLog;
  readonly log: LogPort;
  readonly checkpoints: ConfigCheckpoints;
  readonly configReplica: StreamReplica<ConfigState>;
  readonly rolesReplica: StreamReplica<RolesState>;
  /** One replica for each claims stream. */
  readonly claimShards: readonly StreamReplica<ClaimsState>[];
  /** Returns the current configuration and its age. */
  readonly view: () => ConfigView;

  readonly instanceList: HttpInstanceList;
  readonly peerClients: PeerClients;
  readonly relayedStreams: RelayedStreams;
  readonly peerMesh: PeerMesh;
  readonly prover: DeathProver;

  readonly roleDirectory: RoleDirectory;
  /** One elector for each role of the own failure domain. */
  readonly roleElectors: readonly RoleElector[];
  readonly budgetHome: BudgetHome;
  readonly budgetLink: BudgetLink;
  readonly workspaceBudgets: WorkspaceBudgets;

  readonly targetControl: HttpTargetControl;
  readonly placer: Placer;
  readonly placerLink: PlacerLink;
  readonly routeQueues: RouteQueues;

  readonly targetClient: TargetClient;
  readonly poisonRegistry: PoisonRegistry;
  readonly guardedTargetClient: GuardedTargetClient;
  readonly retries: RetryBudget;
  readonly claimRegistry: ClaimRegistry;
  readonly slotAcquirer: SlotAcquirer;
  readonly serviceCall: ServiceCall;
}

export default InstanceComponents;
