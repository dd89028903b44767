import type { RegisteredTarget } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';
import isMoveDue from './isMoveDue';
import mayStillRun from './mayStillRun';

type Dependencies = Pick<
  EdgeDependencies,
  'clock' | 'log' | 'table' | 'loads' | 'probe' | 'metrics'
>;

interface Attempt {
  readonly request: AdmittedRequest;
  readonly target: RegisteredTarget;
  /** Returns the time since the last byte of the stream, or since it was sent. */
  readonly silentMs: () => number;
  /** Returns whether the stream has begun. */
  readonly hasBegun: () => boolean;
  /** Returns whether the stream may be resumed at another target. */
  readonly mayGoElsewhere: () => boolean;
  /** Ends the attempt and returns true if the stream may be resumed at another target now, where a retry is left for it. */
  readonly tryGiveUp: () => boolean;
  /** Returns when the stream is expected to end, as a time on the clock. */
  readonly expectedEndMs: () => number;
  /** Ends the attempt and returns true if the stream may be resumed at another target. */
  readonly tryMove: () => boolean;
}

const CHECK_INTERVAL_MS = 250;
/** Pause in a stream after which it has stalled. */
const STALL_TIMEOUT_MS = 1_200;
/** Time to wait for the first event, beyond the latency target. */
const FIRST_EVENT_MARGIN_MS = 1_500;
/**
 * How long before a stream has stalled its engine is asked, so that one that does not answer is left in time. What it answers is
 * up to 0.6 s old, and so from after the last byte.
 */
const ASK_LEAD_MS = 450;
/** Time between two questions to the engine of one stalled stream. */
const ASK_INTERVAL_MS = 600;

/**
 * Watches a resumable stream for a pause that is too long. An engine that can be reached is asked whether it still works on the
 * request, and is left only if it does not: otherwise the request would run at two engines.
 *
 * Also watches for a target that announced its end, and moves the stream if it would not end before.
 */
class StallWatch {
  private timer: NodeJS.Timeout | undefined;

  private isAsking = false;

  private nextQuestionAtMs = -Infinity;

  constructor(
    private readonly deps: Dependencies,
    private readonly attempt: Attempt,
  ) {}

  /** Starts to watch, until `stop` is called. */
  start(): void {
    this.timer = setInterval(() => {
      void this.check();
    }, CHECK_INTERVAL_MS);
  }

  /** Stops to watch. The answer to a question that is under way changes nothing any more. */
  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private async check(): Promise<void> {
    const { attempt } = this;
    if (this.isMoveDue && this.tryMove()) return;
    // Plain services cannot be asked, and silence alone is no end.
    if (attempt.request.pool.engine === null) return;
    if (this.isAsking || !this.isQuestionDue) return;
    this.isAsking = true;
    try {
      await this.leaveIfOver();
    } catch (error) {
      const { attemptId } = attempt.request.fields;
      this.deps.log.event('stream_not_asked', {
        request: attemptId,
        target: attempt.target.id,
        error: (error as Error).message,
      });
    } finally {
      this.isAsking = false;
      this.nextQuestionAtMs = this.deps.clock.nowMs() + ASK_INTERVAL_MS;
    }
  }

  private get isMoveDue(): boolean {
    const { attempt, deps } = this;
    const { goneAtMs = Infinity } = deps.table.get(attempt.target.id) ?? {};
    if (goneAtMs === Infinity) return false;
    return isMoveDue({ goneAtMs, expectedEndMs: attempt.expectedEndMs() }, deps.clock.nowMs());
  }

  private tryMove(): boolean {
    const { attempt, deps } = this;
    const { request, target } = attempt;
    const { model, adapter, attemptId } = request.fields;
    const views =
      request.pool.engine === null
        ? deps.table.inService(request.pool.name)
        : deps.table.holding(request.pool.name, model, adapter);
    const isServedElsewhere = views.some(
      ({ entry }) => entry.id !== target.id && deps.loads.isReachable(entry.id),
    );
    if (!isServedElsewhere || !attempt.tryMove()) return false;
    const nowMs = deps.clock.nowMs();
    deps.metrics.streamsMoved.inc({ pool: request.pool.name });
    deps.log.event('stream_moved', {
      request: attemptId,
      target: target.id,
      left_ms: Math.round(deps.table.get(target.id)!.goneAtMs - nowMs),
      expected_ms: Math.round(attempt.expectedEndMs() - nowMs),
      began: attempt.hasBegun(),
    });
    return true;
  }

  /** Asks the engine, and gives the attempt up if it does not work on the request and the stream goes on elsewhere. */
  private async leaveIfOver(): Promise<void> {
    const { attempt, deps } = this;
    const { attemptId } = attempt.request.fields;
    const askedAtSilentMs = attempt.silentMs();
    const hasBegun = attempt.hasBegun();
    const runs = await deps.probe.runs(attempt.target);
    const silentMs = attempt.silentMs();
    const goesOn = silentMs < askedAtSilentMs;
    const isOver =
      this.timer !== undefined &&
      !goesOn &&
      !mayStillRun({ attemptId, isShown: hasBegun }, runs) &&
      this.hasAlternative();
    const isLeft = isOver && attempt.tryGiveUp();
    deps.log.event('stream_stalled', {
      request: attemptId,
      target: attempt.target.id,
      silent_ms: Math.round(silentMs),
      began: hasBegun,
      engine: runs.contact,
      listed: runs.ids?.has(attemptId) ?? 'unknown',
      unlisted: runs.unlisted,
      outcome: isLeft ? 'left' : 'kept',
    });
  }

  private get isQuestionDue(): boolean {
    return (
      this.attempt.silentMs() >= this.limitMs - ASK_LEAD_MS &&
      this.deps.clock.nowMs() >= this.nextQuestionAtMs &&
      this.attempt.mayGoElsewhere() &&
      this.hasAlternative()
    );
  }

  /** The silence after which the stream has stalled. */
  private get limitMs(): number {
    const { hasBegun, request } = this.attempt;
    return hasBegun() ? STALL_TIMEOUT_MS : request.route.latencyTargetMs + FIRST_EVENT_MARGIN_MS;
  }

  /** Whether another reachable target could resume the stream now. */
  private hasAlternative(): boolean {
    const { request, target } = this.attempt;
    const { model, adapter } = request.fields;
    return this.deps.table
      .holding(request.pool.name, model, adapter)
      .some(({ entry }) => entry.id !== target.id && this.deps.loads.isReachable(entry.id));
  }
}

export default StallWatch;
