import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';
import { SuspectRegistry, type SuspectUpdate } from '@wisteriapath/suspects';
import QuarantineKeeper from './QuarantineKeeper';
import type EdgePorts from './EdgePorts';

interface Dependencies {
  readonly clock: Clock;
  readonly ports: EdgePorts;
  readonly log: EventLog;
  /** Whether this instance writes quarantines to the store. */
  readonly isWriter: () => boolean;
  /** Sends an update to all peers. */
  readonly announce: (update: SuspectUpdate) => void;
}

/**
 * Creates what an instance knows of requests that crash targets, and what keeps it in the store.
 *
 * @example
 * const { suspects, keeper } = createSuspects({ clock, ports, log, isWriter, announce });
 */
const createSuspects = ({ clock, ports, log, isWriter, announce }: Dependencies) => {
  const keeper = new QuarantineKeeper({
    clock,
    wallClock: ports.wallClock,
    log,
    store: ports.memberStore,
    isWriter,
  });
  const suspects = new SuspectRegistry({
    clock,
    log,
    announce,
    onQuarantineChanged: (trait, crashes) => keeper.save(trait, crashes),
  });
  return { suspects, keeper };
};

export default createSuspects;
