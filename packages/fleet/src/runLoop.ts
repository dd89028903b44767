import type { Clock } from '@wisteriapath/model';
import type EventLog from './EventLog';

interface Loop {
  /** Name of the loop in log lines. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly isOver: () => boolean;
  /** Does one round of work and waits until the next is due. */
  readonly step: () => Promise<void>;
}

/** Pause after a round that failed, so that a lasting error neither fills the log nor blocks the process. */
const ERROR_PAUSE_MS = 250;

/**
 * Repeats a step until the loop is over. An error ends the step, not the loop: it is logged, and the next round follows
 * after a pause.
 *
 * @example
 * void runLoop({ name: 'targets', clock, log, isOver: () => isStopped, step: () => readTargets() });
 */
const runLoop = async ({ name, clock, log, isOver, step }: Loop): Promise<void> => {
  while (!isOver()) {
    try {
      await step();
    } catch (error) {
      log.event('loop_error', { loop: name, error: (error as Error).stack ?? String(error) });
      await clock.sleep(ERROR_PAUSE_MS);
    }
  }
};

export default runLoop;
