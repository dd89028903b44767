import type { EventLog } from '@wisteriapath/fleet';

/** The parts of a stop in their order, by name. */
type Parts = Readonly<Record<string, () => Promise<void> | void>>;

/**
 * Does the parts of a stop one after the other. An error in one is logged, as the others, and requests under way, don't
 * depend on it.
 *
 * @example
 * await stopParts(log, { peers: () => peers.stop(), targets: () => connections.close() });
 */
const stopParts = async (log: EventLog, parts: Parts): Promise<void> => {
  for (const [part, stop] of Object.entries(parts)) {
    try {
      await stop();
    } catch (error) {
      const { stack, message } = error as Error;
      log.event('stop_part_failed', { part, error: stack ?? message });
    }
  }
};

export default stopParts;
