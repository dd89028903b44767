import type {
  DutyApi,
  EngineControl,
  LeaseStore,
  MemberStore,
  RecordDecoder,
  RecordSink,
  StoreFollower,
  WallClock,
} from '@wisteriapath/fleet';
import type { UsagePorts } from '@wisteriapath/duties';
import type Dialect from './Dialect';

/** The interfaces to its surroundings that the platform provides to an instance. */
interface EdgePorts {
  readonly dialect: Dialect;
  readonly engineControl: EngineControl;
  readonly leaseStore: LeaseStore;
  readonly memberStore: MemberStore;
  /** Absent where the deployment does not report usage. */
  readonly usage?: UsagePorts;
  /** Absent where the deployment has no duties. */
  readonly dutyApi?: DutyApi;
  readonly wallClock: WallClock;
  readonly decoder: RecordDecoder;
  /**
   * Starts to read the store into a sink; `isSharedReader` tells whether this instance reads for all peers.
   */
  readonly followStore: (sink: RecordSink, isSharedReader: () => boolean) => StoreFollower;
}

export default EdgePorts;
