import type { EventLog } from '@wisteriapath/fleet';

/**
 * Returns the result of a call to the store of members; undefined after an error, which is logged.
 *
 * @example
 * const records = await attemptStoreCall(log, () => store.list());
 */
const attemptStoreCall = async <T>(
  log: EventLog,
  call: () => Promise<T>,
): Promise<T | undefined> => {
  try {
    return await call();
  } catch (error) {
    log.event('members_failed', { error: (error as Error).stack ?? String(error) });
    return undefined;
  }
};

export default attemptStoreCall;
