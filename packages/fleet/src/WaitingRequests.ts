import type { Clock } from '@wisteriapath/model';
import type Demand from './Demand';

interface WaitingRequest {
  readonly sinceMs: number;
  readonly latencyTargetMs: number;
  /** When it can no longer be served. */
  readonly deadlineAtMs: number;
}

/** The requests that wait for the same model or adapter. */
interface WaitingGroup {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly requests: Set<WaitingRequest>;
}

/** The requests of this instance that wait for a model or adapter to be loaded. */
class WaitingRequests {
  private readonly groups = new Map<string, WaitingGroup>();

  constructor(
    private readonly clock: Clock,
    /** Called when a request starts to wait. */
    private readonly onWaitStarted: () => void,
  ) {}

  /** Adds a waiting request, and returns the function to call when it no longer waits. */
  add(
    { pool, model, adapter }: Pick<WaitingGroup, 'pool' | 'model' | 'adapter'>,
    { latencyTargetMs, deadlineAtMs }: Pick<WaitingRequest, 'latencyTargetMs' | 'deadlineAtMs'>,
  ): () => void {
    const key = JSON.stringify([pool, model, adapter]);
    const group = this.groups.get(key) ?? {
      pool,
      model,
      adapter,
      requests: new Set<WaitingRequest>(),
    };
    this.groups.set(key, group);
    const request = { sinceMs: this.clock.nowMs(), latencyTargetMs, deadlineAtMs };
    group.requests.add(request);
    this.onWaitStarted();
    return () => {
      group.requests.delete(request);
      if (group.requests.size === 0 && this.groups.get(key) === group) this.groups.delete(key);
    };
  }

  /** Returns the current demand, one item for each model or adapter. */
  get demands(): readonly Demand[] {
    const nowMs = this.clock.nowMs();
    return [...this.groups.values()].map(({ pool, model, adapter, requests }) => ({
      pool,
      model,
      adapter,
      waiting: requests.size,
      waitedMs: Math.round(nowMs - Math.min(...[...requests].map(({ sinceMs }) => sinceMs))),
      latencyTargetMs: Math.min(...[...requests].map((request) => request.latencyTargetMs)),
      leftMs: Math.round(
        Math.max(...[...requests].map(({ deadlineAtMs }) => deadlineAtMs)) - nowMs,
      ),
    }));
  }
}

export default WaitingRequests;
