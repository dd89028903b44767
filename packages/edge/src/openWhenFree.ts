import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';
import ListenError from './ListenError';
import type OpenFailure from './OpenFailure';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /**
   * Time for which errors that may pass are tried again, as the sum of the pauses: a process that stood still has not tried.
   * Null if nothing needs the port, so that any error is tried again for good.
   */
  readonly limitMs: number | null;
  /** Whether the process is stopping, so that nothing more is opened. */
  readonly isOver: () => boolean;
  /** Called after each failure. */
  readonly onFailure: (failure: OpenFailure) => void;
}

const RETRY_INTERVAL_MS = 200;
/** One in this many failures is logged. */
const LOGGED_PERIOD = 10;
/** Errors that may pass: a port in use, an address that is not there yet, what the system lacks, not this process alone. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EAI_AGAIN',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Opens a listener, and tries again until it succeeds or the process stops: its port may be held by a process that is about
 * to end. Returns undefined if it was not opened. Rejects with a `ListenError` after an error that does not pass, or once the
 * limit is over.
 *
 * @example
 * const listener = await openWhenFree('10.1.0.25:8221', options, () => HttpListener.open(...));
 */
const openWhenFree = async <T>(
  address: string,
  { clock, log, limitMs, isOver, onFailure }: Options,
  open: () => Promise<T>,
): Promise<T | undefined> => {
  const maxTries = 1 + Math.ceil((limitMs ?? Infinity) / RETRY_INTERVAL_MS);
  for (let failures = 1; !isOver(); failures += 1) {
    try {
      return await open();
    } catch (error) {
      const { code: errorCode, message } = error as NodeJS.ErrnoException;
      const failure = { code: errorCode ?? message, failures };
      if (failures % LOGGED_PERIOD === 1) log.event('listen_failed', { address, ...failure });
      onFailure(failure);
      const mayPass = limitMs === null || PASSING_CODES.has(failure.code);
      const isLast = !mayPass || failures >= maxTries;
      if (isLast && !isOver()) throw new ListenError(address, failure, { cause: error });
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }
  return undefined;
};

export default openWhenFree;
