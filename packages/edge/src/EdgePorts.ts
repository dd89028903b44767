import type {
  EngineControl,
  LeaseStore,
  MemberStore,
  StoreEvents,
  StoreFollower,
  WallClock,
} from '@wisteriapath/fleet';
import type Dialect from './Dialect';

/** What the platform gives an instance. */
interface EdgePorts {
  readonly dialect: Dialect;
  readonly engineControl: EngineControl;
  readonly leaseStore: LeaseStore;
  readonly memberStore: MemberStore;
  readonly wallClock: WallClock;
  /** Begins to read the store; `reads` says whether this instance reads the targets for all. */
  readonly followStore: (events: StoreEvents, reads: () => boolean) => StoreFollower;
}

export default EdgePorts;
