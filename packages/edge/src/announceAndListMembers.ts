import type { Clock } from '@wisteriapath/model';
import type { MemberRecord, MemberStore } from '@wisteriapath/fleet';

const RETRY_INTERVAL_MS = 1_000;

/**
 * Announces an instance to those that start later, and returns the members known so far. Retries until both
 * succeed; returns no members once `isOver` returns true.
 *
 * @example
 * const members = await announceAndListMembers(store, clock, self, () => isStopping);
 */
const announceAndListMembers = async (
  store: MemberStore,
  clock: Clock,
  self: MemberRecord,
  isOver: () => boolean,
): Promise<readonly MemberRecord[]> => {
  while (!isOver() && !(await store.announce(self))) await clock.sleep(RETRY_INTERVAL_MS);
  while (!isOver()) {
    const members = await store.list();
    if (members !== undefined) return members;
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return [];
};

export default announceAndListMembers;
