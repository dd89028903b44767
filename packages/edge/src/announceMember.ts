import type { Clock } from '@wisteriapath/model';
import type { EventLog, MemberRecord, MemberStore } from '@wisteriapath/fleet';
import attemptStoreCall from './attemptStoreCall';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

const RETRY_INTERVAL_MS = 1_000;

/**
 * Announces an instance to those that start later. Retries until the store has taken it, whatever the error, or
 * `isOver` returns true.
 *
 * @example
 * await announceMember(store, { clock, log }, self, () => isStopping);
 */
const announceMember = async (
  store: MemberStore,
  { clock, log }: Parts,
  self: MemberRecord,
  isOver: () => boolean,
): Promise<void> => {
  while (!isOver() && (await attemptStoreCall(log, () => store.announce(self))) !== true) {
    await clock.sleep(RETRY_INTERVAL_MS);
  }
};

export default announceMember;
