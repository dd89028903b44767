import type DispatchRequest from './DispatchRequest';
import type RankedWork from './RankedWork';
import Urgency from './Urgency';
import WorkspaceFairness from './WorkspaceFairness';
import agedPriority from './agedPriority';
import compareWaiting from './compareWaiting';
import rankWork from './rankWork';
import urgencyOf from './urgencyOf';

interface Entry {
  readonly request: DispatchRequest;
  readonly work: RankedWork;
}

/** Every so many starts, the request that has waited longest goes first, so that requests with short deadlines get a share too. */
const OLDEST_TURN_INTERVAL = 8;

/** Compares by urgency, and urgent work by priority too: within these, workspaces are served fairly. */
const compareTiers = (one: RankedWork, other: RankedWork): number => {
  const urgency = urgencyOf(one.slackMs);
  const byUrgency = urgency - urgencyOf(other.slackMs);
  if (byUrgency !== 0 || urgency !== Urgency.Urgent) return byUrgency;
  return agedPriority(one) - agedPriority(other);
};

/**
 * The requests of one instance that wait for a place at a target. Those that lose something soon go first, by priority. Where urgency
 * and priority are equal, workspaces are served fairly by tokens, and the requests of one workspace in the order of `compareWaiting`.
 * It answers the load of more requests than the targets have places for, of callers with different objectives.
 */
class DispatchQueue {
  private readonly requests = new Set<DispatchRequest>();

  private readonly fairness = new WorkspaceFairness();

  private startCount = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.requests.size;
  }

  /** Adds a request, and returns the function to call when it no longer waits. */
  add(request: DispatchRequest): () => void {
    this.requests.add(request);
    this.fairness.join(request.workspace);
    return () => this.remove(request);
  }

  /** Starts all requests for which there is a place, in order, and returns them. */
  dispatch(nowMs: number): readonly DispatchRequest[] {
    const started: DispatchRequest[] = [];
    const tried = new Set<DispatchRequest>();
    const unavailable = new Set<string>();
    for (;;) {
      const next = this.startNext(nowMs, tried, unavailable);
      if (next === undefined) return started;
      started.push(next);
    }
  }

  /** Starts the first request in order for which there is a place; undefined if there is none. */
  private startNext(
    nowMs: number,
    tried: Set<DispatchRequest>,
    unavailable: Set<string>,
  ): DispatchRequest | undefined {
    const isOpen = (request: DispatchRequest) =>
      !tried.has(request) && !(request.need !== null && unavailable.has(request.need));
    for (const request of this.inOrder(nowMs, isOpen)) {
      if (isOpen(request) && !request.isOver()) {
        if (request.tryStart()) {
          this.startCount += 1;
          this.fairness.charge(request.workspace, request.tokens);
          this.remove(request);
          return request;
        }
        if (request.need !== null) unavailable.add(request.need);
      }
      tried.add(request);
    }
    return undefined;
  }

  private inOrder(
    nowMs: number,
    isOpen: (request: DispatchRequest) => boolean,
  ): readonly DispatchRequest[] {
    const open = [...this.requests].filter(isOpen);
    if (open.length < 2) return open;
    if ((this.startCount + 1) % OLDEST_TURN_INTERVAL === 0) {
      return open.sort((one, other) => one.sinceMs - other.sinceMs);
    }
    const entries = open.map((request) => ({ request, work: DispatchQueue.rank(request, nowMs) }));
    entries.sort((one, other) => this.compare(one, other));
    return entries.map(({ request }) => request);
  }

  private compare(one: Entry, other: Entry): number {
    const { fairness } = this;
    return (
      compareTiers(one.work, other.work) ||
      fairness.virtualStart(one.request.workspace) -
        fairness.virtualStart(other.request.workspace) ||
      compareWaiting(one.work, other.work) ||
      one.request.sinceMs - other.request.sinceMs
    );
  }

  private static rank(request: DispatchRequest, nowMs: number): RankedWork {
    const { tokens, sinceMs, leavesAtMs } = request;
    const times = { waitedMs: nowMs - sinceMs, leftMs: leavesAtMs - nowMs };
    return rankWork({ ...request, ...times, workMs: tokens, count: 1 }, 0);
  }

  private remove(request: DispatchRequest): void {
    if (!this.requests.delete(request)) return;
    if (this.requests.size === 0) {
      this.fairness.clear();
      return;
    }
    const waiting = new Set([...this.requests].map(({ workspace }) => workspace));
    this.fairness.retain((workspace) => waiting.has(workspace));
  }
}

export default DispatchQueue;
