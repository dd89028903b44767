import type { Clock } from '@wisteriapath/model';
import type { EventLog, FleetRecords, MemberRecord, MemberStore } from '@wisteriapath/fleet';
import type QuarantineKeeper from './QuarantineKeeper';
import announceAndListMembers from './announceAndListMembers';
import announceMember from './announceMember';
import maxCopyAgeMs from './maxCopyAgeMs';

interface Dependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: MemberStore;
  readonly keeper: QuarantineKeeper;
  readonly self: MemberRecord;
  /** Whether this instance is shutting down. */
  readonly isOver: () => boolean;
  /** Called once, with what the store keeps. */
  readonly onLearned: (records: FleetRecords) => void;
}

/** What this instance writes to the store for others: that it is there, and the quarantines that it keeps. */
class StoredRecords {
  private announcedAtMs = Infinity;

  private era = 0;

  constructor(private readonly deps: Dependencies) {}

  /** Announces this instance and reads what the others wrote. */
  async learn(): Promise<void> {
    const { clock, store, self, isOver, onLearned } = this.deps;
    const records = await announceAndListMembers(store, this.deps, self, isOver);
    this.announcedAtMs = clock.nowMs();
    onLearned(records);
  }

  /**
   * Writes again what an older copy of the store may lack, once for each era. What is older than any copy is still
   * there.
   */
  writeAgain(era: number): void {
    if (era <= this.era) return;
    this.era = era;
    const { clock, log, keeper, store, self, isOver } = this.deps;
    const isMemberLost = clock.nowMs() - this.announcedAtMs < maxCopyAgeMs;
    const quarantines = keeper.saveAgain();
    log.event('records_written_again', { era, member: isMemberLost, quarantines });
    if (isMemberLost) void announceMember(store, this.deps, self, isOver);
  }
}

export default StoredRecords;
