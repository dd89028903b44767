import type { Clock } from '@wisteriapath/model';
import type { FleetRecords, MemberRecord, MemberStore } from '@wisteriapath/fleet';

const RETRY_INTERVAL_MS = 1_000;

/**
 * Announces an instance to those that start later, and returns the members and quarantines known so far. Retries until
 * both succeed; returns none once `isOver` returns true.
 *
 * @example
 * const { members, quarantines } = await announceAndListMembers(store, clock, self, () => isStopping);
 */
const announceAndListMembers = async (
  store: MemberStore,
  clock: Clock,
  self: MemberRecord,
  isOver: () => boolean,
): Promise<FleetRecords> => {
  while (!isOver() && !(await store.announce(self))) await clock.sleep(RETRY_INTERVAL_MS);
  while (!isOver()) {
    const records = await store.list();
    if (records !== undefined) return records;
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return { members: [], quarantines: [] };
};

export default announceAndListMembers;
