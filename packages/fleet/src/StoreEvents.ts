import type DesiredState from './DesiredState';
import type TargetUpdate from './TargetUpdate';

/** Receiver of what a `StoreFollower` reads from the platform's store. */
interface StoreEvents {
  desiredState(state: DesiredState): void;
  /** Receives all failure domains whose targets must get no further requests. */
  drainedDomains(domains: ReadonlySet<string>): void;
  targets(update: TargetUpdate): void;
}

export default StoreEvents;
