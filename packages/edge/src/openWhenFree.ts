import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';
import type OpenFailure from './OpenFailure';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether the process is stopping, so that nothing more is opened. */
  readonly isOver: () => boolean;
  /** Called after each failure. */
  readonly onFailure: (failure: OpenFailure) => void;
}

const RETRY_INTERVAL_MS = 200;
/** One in this many failures is logged. */
const LOGGED_PERIOD = 10;

/**
 * Opens a listener, and tries again until it succeeds or the process stops: its port may be held by a process that is about
 * to end. Returns undefined if it was not opened.
 *
 * @example
 * const listener = await openWhenFree('10.1.0.25:8221', options, () => HttpListener.open(...));
 */
const openWhenFree = async <T>(
  address: string,
  { clock, log, isOver, onFailure }: Options,
  open: () => Promise<T>,
): Promise<T | undefined> => {
  for (let failures = 1; !isOver(); failures += 1) {
    try {
      return await open();
    } catch (error) {
      const { code: errorCode, message } = error as NodeJS.ErrnoException;
      const failure = { code: errorCode ?? message, failures };
      if (failures % LOGGED_PERIOD === 1) log.event('listen_failed', { address, ...failure });
      onFailure(failure);
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }
  return undefined;
};

export default openWhenFree;
