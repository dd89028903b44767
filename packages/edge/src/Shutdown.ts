import { setMaxListeners } from 'node:events';
import type { Clock } from '@wisteriapath/model';
import type HttpListener from './HttpListener';

interface Parts {
  readonly clock: Clock;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** Returns the number of callers' requests in progress. */
  readonly activeRequests: () => number;
}

/** Time for which requests are still sent to targets after the stop signal, until the balancer has noticed it. */
const BALANCER_LAG_MS = 2_600;
/** Part of the grace period that is left unused, so that the process exits before it is killed. */
const GRACE_MARGIN_MS = 500;
/** Least part of the grace period after requests are no longer sent, also where the balancer has not noticed by then. */
const LEAST_REST_MS = 400;
/** Time for the last answers to requests whose targets have not finished by the end of the grace period. */
const FINAL_ANSWERS_MS = 200;
const POLL_INTERVAL_MS = 50;

/**
 * The planned stop of an instance: when it stops sending requests to targets, and waiting for targets. Connections are accepted
 * until its last moment; what arrives too late to be sent is refused.
 */
class Shutdown {
  private readonly controller = new AbortController();

  private readonly cutoffController = new AbortController();

  private cutoffAtMs = Infinity;

  private finalAtMs = Infinity;

  private awayAtMs = Infinity;

  constructor(private readonly parts: Parts) {
    // Each request in progress listens to it.
    setMaxListeners(0, this.controller.signal, this.cutoffController.signal);
  }

  get hasBegun(): boolean {
    return this.cutoffAtMs !== Infinity;
  }

  /** Time from which no request is sent to targets, on the monotonic clock. */
  get sendCutoffAtMs(): number {
    return this.cutoffAtMs;
  }

  /** Time from which the balancer sends no callers any more, on the monotonic clock; Infinity if the stop has not begun. */
  get turnedAwayAtMs(): number {
    return this.awayAtMs;
  }

  /** Aborts when no request is sent to targets any more. */
  get sendCutoffSignal(): AbortSignal {
    return this.cutoffController.signal;
  }

  /** Time at which requests in progress must be answered at once, on the monotonic clock; Infinity if the stop has not begun. */
  get endAtMs(): number {
    return this.finalAtMs;
  }

  /** Aborts when requests in progress must be answered at once. */
  get finalSignal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Finishes the requests in progress, and has the others answered before the grace period ends. Where no callers can
   * have been sent to the instance, nothing waits for them to be sent elsewhere. `passedMs` of the grace period may have passed.
   */
  async run(
    listeners: readonly HttpListener[],
    mayBeReached: boolean,
    passedMs = 0,
  ): Promise<void> {
    const { clock, graceMs } = this.parts;
    const nowMs = clock.nowMs();
    const startedMs = nowMs - passedMs;
    const longestMs = Math.max(0, graceMs - LEAST_REST_MS);
    const sendingMs = mayBeReached ? Math.min(BALANCER_LAG_MS, longestMs) : 0;
    this.cutoffAtMs = startedMs + sendingMs;
    // The balancer has been told that the instance is not ready only since now.
    this.awayAtMs = nowMs + sendingMs;
    this.finalAtMs = startedMs + graceMs - GRACE_MARGIN_MS;
    await clock.sleep(sendingMs - passedMs);
    this.cutoffController.abort();
    await this.finishRequests(listeners, this.finalAtMs);
    this.controller.abort();
    const limitMs = this.finalAtMs + FINAL_ANSWERS_MS;
    await Promise.all(listeners.map((listener) => listener.finish(clock, limitMs)));
    await this.finishRequests([], limitMs);
  }

  /** Waits until no request is in progress, until `endMs` at the latest. Callers with idle connections are sent elsewhere meanwhile. */
  private async finishRequests(listeners: readonly HttpListener[], endMs: number): Promise<void> {
    const { clock, activeRequests } = this.parts;
    while (activeRequests() > 0 && clock.nowMs() < endMs) {
      listeners.forEach((listener) => listener.closeIdle());
      await clock.sleep(Math.min(POLL_INTERVAL_MS, endMs - clock.nowMs()));
    }
  }
}

export default Shutdown;
