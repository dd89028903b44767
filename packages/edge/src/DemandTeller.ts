import type { Clock } from '@wisteriapath/model';
import { type DemandReport, WaitingRequests } from '@wisteriapath/fleet';
import type ModelRates from './ModelRates';
import type TargetLoads from './TargetLoads';

interface Parts {
  readonly clock: Clock;
  /** Name under which the placer answers. */
  readonly instance: string;
  readonly rates: ModelRates;
  readonly loads: TargetLoads;
  /** Instances that tell the placer, this one included. */
  readonly instances: () => number;
  /** Passes a request on to the placer, wherever it is. */
  readonly tell: (request: DemandReport) => void;
}

const TELL_EVERY_MS = 100;
const RATES_EVERY_MS = 150;
/** Instances beyond which each tells less often, so that placers hear no more in all. */
const INSTANCES_AT_FULL_PACE = 12;
/** Longest times between two tellings, within what placers take for fresh. */
const MOST_TELL_EVERY_MS = 300;
const MOST_RATES_EVERY_MS = 1_000;

/** Tells the placer what the requests of this instance wait for and use. */
class DemandTeller {
  readonly waiting: WaitingRequests;

  private timer: NodeJS.Timeout | undefined;

  private toldMs = 0;

  private isSoon = false;

  private stopped = false;

  constructor(private readonly parts: Parts) {
    this.waiting = new WaitingRequests(parts.clock, () => this.tellSoon());
  }

  start(): void {
    if (this.stopped) return;
    const everyMs = Math.min(MOST_TELL_EVERY_MS, TELL_EVERY_MS * this.slowness);
    this.timer = setTimeout(() => {
      this.tell();
      this.start();
    }, everyMs);
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private get slowness(): number {
    return Math.max(1, this.parts.instances() / INSTANCES_AT_FULL_PACE);
  }

  /** Tells at once, but once for all that begin to wait together. */
  private tellSoon(): void {
    if (this.isSoon) return;
    this.isSoon = true;
    setImmediate(() => {
      this.isSoon = false;
      this.tell();
    });
  }

  private tell(): void {
    const waiting = this.waiting.demands;
    const nowMs = this.parts.clock.nowMs();
    const ratesEveryMs = Math.min(MOST_RATES_EVERY_MS, RATES_EVERY_MS * this.slowness);
    if (waiting.length === 0 && nowMs - this.toldMs < ratesEveryMs) return;
    this.toldMs = nowMs;
    const { instance, rates, loads, tell } = this.parts;
    const { running, unreachable } = loads;
    tell({ instance, waiting, rates: rates.all, running, unreachable });
  }
}

export default DemandTeller;
