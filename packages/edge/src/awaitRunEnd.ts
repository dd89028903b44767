import type { EngineRuns, RegisteredTarget } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';
import mayStillRun from './mayStillRun';

type Dependencies = Pick<EdgeDependencies, 'clock' | 'log' | 'probe'>;

/** A request whose connection to its engine has ended before its stream did. */
interface BrokenRun {
  readonly attemptId: string;
  readonly target: RegisteredTarget;
  /** Since when the engine has certainly had the request, or will never have it, on the monotonic clock. */
  readonly settledAtMs: number;
  /** Time from which the request must not be sent any more, on the monotonic clock. */
  readonly lastMs: number;
  /** Aborts when it must not be sent any more for another reason. */
  readonly overSignal: AbortSignal;
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
 * if (!(await awaitRunEnd(deps, run))) return this.fail('may still run');
 */
const awaitRunEnd = async (
  { clock, log, probe }: Dependencies,
  { attemptId, target, settledAtMs, lastMs, overSignal }: BrokenRun,
): Promise<boolean> => {
  const startedMs = clock.nowMs();
  const known = new AbortController();
  const signal = AbortSignal.any([overSignal, known.signal]);
  let isOver = false;
  const over = clock.sleep(lastMs - startedMs, signal).then(() => {
    isOver = true;
  });
  let last: EngineRuns | undefined;
  for (let questions = 1; ; questions += 1) {
    const isShown = clock.nowMs() - REPORT_LAG_MS >= settledAtMs;
    const runs = await Promise.race([probe.runs(target), over]);
    last = runs ?? last;
    const hasEnded = runs !== undefined && !mayStillRun({ attemptId, isShown }, runs);
    if (hasEnded || isOver) {
      known.abort();
      log.event('run_end_awaited', {
        request: attemptId,
        target: target.id,
        engine: last?.contact ?? '',
        listed: last?.ids?.has(attemptId) ?? 'unknown',
        unlisted: last?.unlisted ?? 'unknown',
        questions,
        waited_ms: Math.round(clock.nowMs() - startedMs),
        outcome: hasEnded ? 'ended' : 'not_known',
      });
      return hasEnded;
    }
    const intervalMs = questions < QUICK_QUESTIONS ? ASK_INTERVAL_MS : LATER_ASK_INTERVAL_MS;
    await clock.sleep(intervalMs, signal);
  }
};

export default awaitRunEnd;
