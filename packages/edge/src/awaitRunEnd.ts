import type { RegisteredTarget } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';
import mayStillRun from './mayStillRun';

type Dependencies = Pick<EdgeDependencies, 'clock' | 'log' | 'probe'>;

/** A request whose connection to its engine has ended before its stream did. */
interface BrokenRun {
  readonly attemptId: string;
  readonly target: RegisteredTarget;
  /** Since when the engine has certainly had the request, or will never have it, on the monotonic clock. */
  readonly settledAtMs: number;
  /** Whether the request must not be sent any more. */
  readonly isOver: () => boolean;
}

/** Age of what an engine's report says, at most. */
const REPORT_LAG_MS = 600;
/** Time between two questions: short while most runs end, which have lost their connection. */
const ASK_INTERVAL_MS = 150;
const LATER_ASK_INTERVAL_MS = 600;
const QUICK_QUESTIONS = 5;

/**
 * Waits until an engine no longer works on a request whose connection has broken: some engines go on without one. Resolves to false if
 * that is not known by the time at which the request must not be sent any more.
 *
 * @example
 * if (!(await awaitRunEnd(deps, { attemptId, target, settledAtMs, isOver }))) return this.fail('may still run');
 */
const awaitRunEnd = async (
  { clock, log, probe }: Dependencies,
  { attemptId, target, settledAtMs, isOver }: BrokenRun,
): Promise<boolean> => {
  const startedMs = clock.nowMs();
  for (let questions = 1; ; questions += 1) {
    const isShown = clock.nowMs() - REPORT_LAG_MS >= settledAtMs;
    const runs = await probe.runs(target);
    const hasEnded = !mayStillRun({ attemptId, isShown }, runs);
    if (hasEnded || isOver()) {
      log.event('run_end_awaited', {
        request: attemptId,
        target: target.id,
        engine: runs.contact,
        listed: runs.ids?.has(attemptId) ?? 'unknown',
        unlisted: runs.unlisted,
        questions,
        waited_ms: Math.round(clock.nowMs() - startedMs),
        outcome: hasEnded ? 'ended' : 'not_known',
      });
      return hasEnded;
    }
    await clock.sleep(questions < QUICK_QUESTIONS ? ASK_INTERVAL_MS : LATER_ASK_INTERVAL_MS);
  }
};

export default awaitRunEnd;
