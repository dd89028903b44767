import type { Clock } from '@wisteriapath/model';
import type { EventLog, MemberRecord } from '@wisteriapath/fleet';
import { SuspectRegistry, type SuspectUpdate } from '@wisteriapath/suspects';
import QuarantineKeeper from './QuarantineKeeper';
import StoredRecords from './StoredRecords';
import type EdgePorts from './EdgePorts';

interface Dependencies {
  readonly clock: Clock;
  readonly ports: EdgePorts;
  readonly log: EventLog;
  /** Whether this instance writes quarantines to the store. */
  readonly isWriter: () => boolean;
  /** Sends an update to all peers. */
  readonly announce: (update: SuspectUpdate) => void;
  readonly self: MemberRecord;
  /** Whether this instance is shutting down. */
  readonly isOver: () => boolean;
  /** Called with the members that the store lists at the start. */
  readonly onMembers: (members: readonly MemberRecord[]) => void;
}

/**
 * Creates what an instance knows of requests that crash targets, and what keeps it, and the instance's own record, in
 * the store.
 *
 * @example
 * const { suspects, records } = createSuspects({ clock, ports, log, isWriter, announce, self, isOver, onMembers });
 */
const createSuspects = (deps: Dependencies) => {
  const { clock, ports, log, isWriter, announce, self, isOver, onMembers } = deps;
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
  const records = new StoredRecords({
    clock,
    log,
    store: ports.memberStore,
    keeper,
    self,
    isOver,
    onLearned: ({ members, quarantines }) => {
      onMembers(members);
      suspects.merge(keeper.toUpdate(quarantines));
    },
  });
  return { suspects, records };
};

export default createSuspects;
