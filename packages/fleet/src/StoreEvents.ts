import type DesiredState from './DesiredState';
import type TargetUpdate from './TargetUpdate';

/** What the readers of the platform's store learn. */
interface StoreEvents {
  desiredState(state: DesiredState): void;
  /** Failure domains to whose targets nothing more may be sent. */
  drainedDomains(domains: ReadonlySet<string>): void;
  targets(news: TargetUpdate): void;
}

export default StoreEvents;
