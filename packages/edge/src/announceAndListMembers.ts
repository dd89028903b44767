import type { Clock } from '@wisteriapath/model';
import type { EventLog, FleetRecords, MemberRecord, MemberStore } from '@wisteriapath/fleet';
import announceMember from './announceMember';
import attemptStoreCall from './attemptStoreCall';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

const RETRY_INTERVAL_MS = 1_000;

/**
 * Announces an instance to those that start later, and returns the members and quarantines known so far. Retries until
 * both succeed, whatever the error; returns none once `isOver` returns true.
 *
 * @example
 * const { members, quarantines } = await announceAndListMembers(store, { clock, log }, self, () => isStopping);
 */
const announceAndListMembers = async (
  store: MemberStore,
  { clock, log }: Parts,
  self: MemberRecord,
  isOver: () => boolean,
): Promise<FleetRecords> => {
  await announceMember(store, { clock, log }, self, isOver);
  while (!isOver()) {
    const records = await attemptStoreCall(log, () => store.list());
    if (records !== undefined) return records;
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return { members: [], quarantines: [] };
};

export default announceAndListMembers;
