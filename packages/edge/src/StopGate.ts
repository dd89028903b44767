import type { Clock } from '@wisteriapath/model';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';
import type AnswerTime from './AnswerTime';
import AnswerTimes from './AnswerTimes';
import type AnsweredRequest from './AnsweredRequest';
import DurationSource from './DurationSource';
import type Shutdown from './Shutdown';
import type StopDecision from './StopDecision';
import type TimedRequest from './TimedRequest';
import expectDuration from './expectDuration';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly shutdown: Pick<Shutdown, 'hasBegun' | 'sendCutoffAtMs' | 'endAtMs'>;
}

/**
 * Decides which requests an instance still serves from the stop signal on: those that are expected to be answered before requests in
 * progress are broken off. The others are refused before they run, so that their callers are served by other instances.
 *
 * Served are calls of services, streams that are short at the pace of their model, and whatever its deadline ends in time. Refused are
 * streams that would outlast the grace period, and those of which nothing is known but a deadline behind it.
 */
class StopGate {
  private readonly times = new AnswerTimes();

  constructor(private readonly parts: Parts) {}

  /** Records how long an answer took, from which the durations of later ones are expected. */
  recordAnswer(request: AnsweredRequest, time: AnswerTime): void {
    this.times.record(request, time);
  }

  /** Returns how long a request was expected to take when it was sent. */
  expectedMs(request: TimedRequest, sentAtMs: number): number {
    return expectDuration(request, this.times, sentAtMs).durationMs;
  }

  /** Returns whether a request that is sent now is served. `begunAtMs` is when a stream was first sent that has begun already. */
  decide(request: TimedRequest, begunAtMs?: number): StopDecision {
    const { clock, shutdown } = this.parts;
    const nowMs = clock.nowMs();
    const leftMs = shutdown.endAtMs - nowMs;
    const { durationMs, source } = expectDuration(request, this.times, nowMs);
    const spentMs = begunAtMs === undefined ? 0 : nowMs - begunAtMs;
    const expectedMs =
      source === DurationSource.Deadline ? durationMs : Math.max(0, durationMs - spentMs);
    // A stream that has begun is not given up for what is not known.
    const isGuess = begunAtMs !== undefined && source === DurationSource.Nothing;
    return { isServed: isGuess || expectedMs <= leftMs, expectedMs, leftMs, source };
  }

  /** Returns the refusal of a request that must not be sent any more, and logs why; undefined if it is served. */
  refusal(request: TimedRequest, begunAtMs?: number): ServeError | undefined {
    if (!this.parts.shutdown.hasBegun) return undefined;
    const hasBegun = begunAtMs !== undefined;
    const lateRefusal = hasBegun ? undefined : this.lateRefusal();
    if (lateRefusal !== undefined) return lateRefusal;
    const decision = this.decide(request, begunAtMs);
    if (decision.isServed) return undefined;
    this.logRefusal(request, decision, hasBegun);
    return StopGate.refuse();
  }

  /** Returns the refusal of a request that comes too late to be served, whatever it is; undefined if it may be served. */
  lateRefusal(): ServeError | undefined {
    const { clock, shutdown } = this.parts;
    return clock.nowMs() >= shutdown.sendCutoffAtMs ? StopGate.refuse() : undefined;
  }

  /** Callers come back at once, as their next connection leads to another instance. */
  private static refuse(): ServeError {
    return ServeError.notExecuted(ErrorKind.Stopping, 'this instance is shutting down', 0);
  }

  private logRefusal(
    { fields, route }: TimedRequest,
    { expectedMs, leftMs, source }: StopDecision,
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
      begun: hasBegun,
    });
  }
}

export default StopGate;
