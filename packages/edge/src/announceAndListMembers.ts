import type { Clock } from '@wisteriapath/model';
import type { EventLog, FleetRecords, MemberRecord, MemberStore } from '@wisteriapath/fleet';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

const RETRY_INTERVAL_MS = 1_000;

/** Returns the result of a call; undefined after an error, which is logged. */
const attempt = async <T>(log: EventLog, call: () => Promise<T>): Promise<T | undefined> => {
  try {
    return await call();
  } catch (error) {
    log.event('members_failed', { error: (error as Error).stack ?? String(error) });
    return undefined;
  }
};

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
  while (!isOver() && (await attempt(log, () => store.announce(self))) !== true) {
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  while (!isOver()) {
    const records = await attempt(log, () => store.list());
    if (records !== undefined) return records;
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return { members: [], quarantines: [] };
};

export default announceAndListMembers;
