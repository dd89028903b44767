import type { Clock } from '@wisteriapath/model';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import { type EventLog, RouteSemantics } from '@wisteriapath/fleet';
import type AnswerTime from './AnswerTime';
import AnswerTimes from './AnswerTimes';
import type AnsweredRequest from './AnsweredRequest';
import type DomainInstances from './DomainInstances';
import DurationSource from './DurationSource';
import type Shutdown from './Shutdown';
import type StopDecision from './StopDecision';
import type TimedRequest from './TimedRequest';
import boundDuration from './boundDuration';
import expectDuration from './expectDuration';
import isServedElsewhere from './isServedElsewhere';
import readyInstances from './readyInstances';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly shutdown: Pick<Shutdown, 'hasBegun' | 'sendCutoffAtMs' | 'turnedAwayAtMs' | 'endAtMs'>;
  readonly peers: DomainInstances;
}

/** What has become of a request before it is decided on. */
interface Progress {
  /** When a stream was first sent that has begun; undefined if its caller has received nothing. */
  readonly begunAtMs?: number | undefined;
  /** Whether a target may have run the request. */
  readonly mayHaveRun?: boolean;
}

/**
 * Decides which requests an instance still serves from the stop signal on. While another instance serves the callers, a stream must
 * surely end before requests in progress are broken off: by its deadline, or at the slowest pace of recent answers. Else, and for
 * requests that are answered at once or not at all, it is enough that they are expected to end in time. The others are refused
 * before they run.
 */
class StopGate {
  private readonly times = new AnswerTimes();

  constructor(private readonly parts: Parts) {}

  /** Records how long an answer took, from which the durations of later ones are expected. */
  recordAnswer(request: AnsweredRequest, time: AnswerTime): void {
    this.times.record(request, time);
  }

  /** Notes that a request has been sent; returns a function that ends it. One that lasts tells that others may. */
  recordBegun(request: AnsweredRequest, sentAtMs: number): () => void {
    return this.times.begin(request, sentAtMs);
  }

  /** Returns how long a request was expected to take when it was sent. */
  expectedMs(request: TimedRequest, sentAtMs: number): number {
    return expectDuration(request, this.times, sentAtMs).durationMs;
  }

  /** Returns whether a request that is sent now is served. */
  decide(request: TimedRequest, progress: Progress = {}): StopDecision {
    const { clock, shutdown } = this.parts;
    const { begunAtMs } = progress;
    const nowMs = clock.nowMs();
    const leftMs = shutdown.endAtMs - nowMs;
    const mustBeCertain = this.mustBeCertain(request, progress);
    const durationOf = mustBeCertain ? boundDuration : expectDuration;
    const { durationMs, source } = durationOf(request, this.times, nowMs);
    const spentMs = begunAtMs === undefined ? 0 : nowMs - begunAtMs;
    const expectedMs =
      source === DurationSource.Deadline ? durationMs : Math.max(0, durationMs - spentMs);
    // A stream that has begun is not given up for what is not known.
    const isGuess = begunAtMs !== undefined && source === DurationSource.Nothing;
    const isServed = isGuess || expectedMs <= leftMs;
    return { isServed, mustBeCertain, expectedMs, leftMs, source };
  }

  /** Returns whether a request that is sent now, or the rest of a stream, would be served; it is not refused by that. */
  wouldServe(request: TimedRequest, progress: Progress): boolean {
    if (!this.parts.shutdown.hasBegun) return true;
    const isLate = progress.begunAtMs === undefined && this.lateRefusal() !== undefined;
    return !isLate && this.decide(request, progress).isServed;
  }

  /** Returns the refusal of a request that must not be sent any more, and logs why; undefined if it is served. */
  refusal(request: TimedRequest, progress: Progress = {}): ServeError | undefined {
    if (!this.parts.shutdown.hasBegun) return undefined;
    const hasBegun = progress.begunAtMs !== undefined;
    const lateRefusal = hasBegun ? undefined : this.lateRefusal();
    if (lateRefusal !== undefined) return lateRefusal;
    const decision = this.decide(request, progress);
    if (decision.isServed) return undefined;
    this.logRefusal(request, decision, hasBegun);
    return this.refuse();
  }

  /** Returns the refusal of a request that comes too late to be served, whatever it is; undefined if it may be served. */
  lateRefusal(): ServeError | undefined {
    const { clock, shutdown } = this.parts;
    return clock.nowMs() >= shutdown.sendCutoffAtMs ? this.refuse() : undefined;
  }

  /** A stream is broken off by the stop, while other answers are whole, or an error that says that they may have run. */
  private mustBeCertain({ route }: TimedRequest, { begunAtMs, mayHaveRun }: Progress): boolean {
    if (route.semantics !== RouteSemantics.Stream) return false;
    const isInProgress = begunAtMs !== undefined || mayHaveRun === true;
    return !isInProgress && isServedElsewhere(this.parts.peers);
  }

  /**
   * Callers come back at once where their next connection may lead to another instance of this failure domain; else when the
   * balancer has turned away to other failure domains.
   */
  private refuse(): ServeError {
    const { clock, shutdown, peers } = this.parts;
    const untilTurnedAwayMs = Math.max(0, shutdown.turnedAwayAtMs - clock.nowMs());
    const retryAfterMs = readyInstances(peers) > 0 ? 0 : untilTurnedAwayMs;
    return ServeError.notExecuted(
      ErrorKind.Stopping,
      'this instance is shutting down',
      retryAfterMs,
    );
  }

  private logRefusal(
    { fields, route }: TimedRequest,
    { mustBeCertain, expectedMs, leftMs, source }: StopDecision,
    hasBegun: boolean,
  ): void {
    this.parts.log.event('stop_refused', {
      request: fields.attemptId,
      route: route.name,
      model: fields.model,
      output_tokens: fields.outputTokens ?? '',
      estimated_tokens: fields.estimatedTokens ?? '',
      expected_ms: Math.round(expectedMs),
      left_ms: Math.round(leftMs),
      known_by: source,
      must_be_certain: mustBeCertain,
      begun: hasBegun,
    });
  }
}

export default StopGate;
