import {
  decideScale,
  ObservationWindow,
  type ScalingDecision,
  type StandingOrder,
  windowMs,
} from '../../src';
import views from './views';

interface Given {
  readonly atMs: number;
  readonly before: number;
  readonly desired: number;
  readonly decision: ScalingDecision;
}

const STEP_MS = 500;
/** Time from an order to give up an engine until the platform announces which one ends. */
const CHOICE_MS = 1_000;
const DRAIN_MS = 4_000;

/** A service in one failure domain whose engines start and end as ordered. */
class ScaledService {
  readonly orders: Given[] = [];

  /** What was asked of the engines at each step. */
  readonly demands: { readonly atMs: number; readonly busy: number }[] = [];

  private nowMs = 0;

  private starting: number[] = [];

  private ending: number[] = [];

  private leaving: number[] = [];

  private ordered: StandingOrder | undefined;

  private readonly window = new ObservationWindow();

  constructor(private ready: number) {}

  /** Lets time pass while demand is what `busyAt` returns. */
  run(durationMs: number, busyAt: (atMs: number) => number): void {
    for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs; this.nowMs += STEP_MS) {
      this.changeEngines();
      this.decide(busyAt(this.nowMs));
    }
  }

  private changeEngines(): void {
    const isDue = (atMs: number) => atMs <= this.nowMs;
    this.ready += this.starting.filter(isDue).length;
    this.starting = this.starting.filter((atMs) => !isDue(atMs));
    const chosen = this.ending.filter(isDue);
    this.ready -= chosen.length;
    this.leaving.push(...chosen.map(() => this.nowMs + DRAIN_MS));
    this.ending = this.ending.filter((atMs) => !isDue(atMs));
    this.leaving = this.leaving.filter((atMs) => !isDue(atMs));
  }

  private decide(busy: number): void {
    const { nowMs, ready, ordered } = this;
    this.demands.push({ atMs: nowMs, busy });
    const places = ready * views.placesPerEngine;
    const ofWindow = windowMs({ limits: views.limits, firstLoadMs: views.firstLoadMs });
    this.window.add(
      { atMs: nowMs, ready, leaving: this.leaving.length, places, busy, waiting: 0, ratePerS: 50 },
      ofWindow,
    );
    const { observations } = this.window;
    const view = views.over(() => ({}), { nowMs, observations, ordered });
    const decision = decideScale(view);
    if (decision.desired === undefined) return;
    const before = this.ordered?.count ?? ready;
    this.orders.push({ atMs: nowMs, before, desired: decision.desired, decision });
    this.ordered = { count: decision.desired, atMs: nowMs };
    this.carryOut(decision.desired);
  }

  private carryOut(desired: number): void {
    const { nowMs } = this;
    const missing = desired - (this.ready - this.ending.length + this.starting.length);
    for (let count = 0; count < missing; count += 1) this.starting.push(nowMs + views.bootMs);
    for (let count = 0; count < -missing; count += 1) this.ending.push(nowMs + CHOICE_MS);
  }
}

export default ScaledService;
