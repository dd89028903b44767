import type { Clock } from '@wisteriapath/model';
import { slackMs } from '@wisteriapath/scheduling';
import type Demand from './Demand';
import leastSlackMs from './leastSlackMs';

/** How urgent a waiting request of a deferring pool is. */
interface RequestOrder {
  /** 0 is the highest. */
  readonly priority: number;
  /** When the caller no longer takes an answer, or abandons the stream if no event has come. */
  readonly leavesAtMs: number;
  /** Returns the shortest time of a load of what it waits for. */
  readonly loadMs: () => number;
}

interface WaitingRequest {
  readonly sinceMs: number;
  readonly latencyTargetMs: number;
  /** When it can no longer be served. */
  readonly deadlineAtMs: number;
  /** Only in deferring pools. */
  readonly order?: RequestOrder;
}

/** The requests that wait for the same model or adapter. */
interface WaitingGroup {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly requests: Set<WaitingRequest>;
}

/** Returns the demand's optional fields, which are left out unless all requests of a group have an order. */
const orderOf = (
  requests: readonly WaitingRequest[],
  nowMs: number,
): Pick<Demand, 'priority' | 'slackMs'> => {
  const loadMs = requests[0].order?.loadMs() ?? 0;
  const ordered = requests.flatMap(({ order, sinceMs, latencyTargetMs }) => {
    if (order === undefined) return [];
    const { priority, leavesAtMs } = order;
    const work = { priority, latencyTargetMs, count: 1, workMs: loadMs };
    const times = { waitedMs: nowMs - sinceMs, leftMs: leavesAtMs - nowMs };
    return [{ priority, slackMs: slackMs({ ...work, ...times }, loadMs) }];
  });
  if (ordered.length < requests.length) return {};
  const servable = ordered.filter((one) => one.slackMs >= 0);
  const counted = servable.length > 0 ? servable : ordered;
  return {
    priority: Math.min(...counted.map(({ priority }) => priority)),
    slackMs: Math.round(leastSlackMs(counted.map((one) => one.slackMs))),
  };
};

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
    { latencyTargetMs, deadlineAtMs, order }: Omit<WaitingRequest, 'sinceMs'>,
  ): () => void {
    const key = JSON.stringify([pool, model, adapter]);
    const group = this.groups.get(key) ?? {
      pool,
      model,
      adapter,
      requests: new Set<WaitingRequest>(),
    };
    this.groups.set(key, group);
    const request = { sinceMs: this.clock.nowMs(), latencyTargetMs, deadlineAtMs, order };
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
      ...orderOf([...requests], nowMs),
    }));
  }
}

export default WaitingRequests;
