import type {
  EngineControl,
  LeaseStore,
  MemberStore,
  StoreEvents,
  StoreFollower,
  WallClock,
} from '@wisteriapath/fleet';
import type Dialect from './Dialect';

/** The interfaces to its surroundings that the platform provides to an instance. */
interface EdgePorts {
  readonly dialect: Dialect;
  readonly engineControl: EngineControl;
  readonly leaseStore: LeaseStore;
  readonly memberStore: MemberStore;
  readonly wallClock: WallClock;
  /** Starts to follow the store; `reads` tells whether this instance reads the targets for all peers. */
  readonly followStore: (events: StoreEvents, reads: () => boolean) => StoreFollower;
}

export default EdgePorts;
