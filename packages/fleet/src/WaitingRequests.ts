import type { Clock } from '@wisteriapath/model';
import type Demand from './Demand';

interface Waiter {
  readonly sinceMs: number;
  readonly latencyTargetMs: number;
}

interface Waiting {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly waiters: Set<Waiter>;
}

/** The requests of this instance that wait for a model or adapter. */
class WaitingRequests {
  private readonly waiting = new Map<string, Waiting>();

  constructor(
    private readonly clock: Clock,
    /** Called when a request begins to wait. */
    private readonly begun: () => void,
  ) {}

  /** Notes that a request waits; call the result when it no longer does. */
  add(pool: string, model: string, adapter: string | null, latencyTargetMs: number): () => void {
    const key = JSON.stringify([pool, model, adapter]);
    const entry = this.waiting.get(key) ?? { pool, model, adapter, waiters: new Set<Waiter>() };
    this.waiting.set(key, entry);
    const waiter = { sinceMs: this.clock.nowMs(), latencyTargetMs };
    entry.waiters.add(waiter);
    this.begun();
    return () => {
      entry.waiters.delete(waiter);
      if (entry.waiters.size === 0 && this.waiting.get(key) === entry) this.waiting.delete(key);
    };
  }

  get demands(): readonly Demand[] {
    const nowMs = this.clock.nowMs();
    return [...this.waiting.values()].map(({ pool, model, adapter, waiters }) => ({
      pool,
      model,
      adapter,
      waiting: waiters.size,
      waitedMs: Math.round(nowMs - Math.min(...[...waiters].map(({ sinceMs }) => sinceMs))),
      latencyTargetMs: Math.min(...[...waiters].map((waiter) => waiter.latencyTargetMs)),
    }));
  }
}

export default WaitingRequests;
