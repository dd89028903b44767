import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether the process is stopping, so that nothing more is opened. */
  readonly isOver: () => boolean;
}

const RETRY_INTERVAL_MS = 200;
/** One in this many failures is logged. */
const LOGGED_PERIOD = 10;

/**
 * Opens a listener, and tries again until it succeeds or the process stops: its port may be held by a process that is about
 * to end. Returns undefined if it was not opened.
 *
 * @example
 * const listener = await openWhenFree('10.1.0.25:8221', { clock, log, isOver }, () => HttpListener.open(...));
 */
const openWhenFree = async <T>(
  address: string,
  { clock, log, isOver }: Options,
  open: () => Promise<T>,
): Promise<T | undefined> => {
  for (let failures = 0; !isOver(); failures += 1) {
    try {
      return await open();
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      if (failures % LOGGED_PERIOD === 0) {
        log.event('listen_failed', { address, code: code ?? message, failures: failures + 1 });
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }
  return undefined;
};

export default openWhenFree;
