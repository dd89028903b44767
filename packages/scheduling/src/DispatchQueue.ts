import type DispatchRequest from './DispatchRequest';
import type RankedWork from './RankedWork';
import Urgency from './Urgency';
import WorkspaceFairness from './WorkspaceFairness';
import agedPriority from './agedPriority';
import compareWaiting from './compareWaiting';
import rankWork from './rankWork';
import urgencyOf from './urgencyOf';

/** A waiting request as it ranks during one look for places. */
interface Entry {
  readonly request: DispatchRequest;
  readonly work: RankedWork;
  readonly urgency: Urgency;
  /** The aged priority of urgent work; the same for all other. */
  readonly priority: number;
}

type Compare = (one: Entry, other: Entry) => number;

/** Every so many starts, the request that has waited longest goes first, so that requests with short deadlines get a share too. */
const OLDEST_TURN_INTERVAL = 8;

/** Returns what stands for all requests that find no place where this one finds none. */
const needOf = (request: DispatchRequest): string | DispatchRequest => request.need ?? request;

const bySince: Compare = (one, other) => one.request.sinceMs - other.request.sinceMs;

const toEntry = (request: DispatchRequest, nowMs: number): Entry => {
  // Field by field: spreading the request took most of the time of a look.
  const { priority, latencyTargetMs, sinceMs, leavesAtMs, workspace, tokens: workMs } = request;
  const waitedMs = nowMs - sinceMs;
  const leftMs = leavesAtMs - nowMs;
  const work = rankWork(
    { priority, latencyTargetMs, waitedMs, leftMs, workMs, workspace, count: 1 },
    0,
  );
  const urgency = urgencyOf(work.slackMs);
  return { request, work, urgency, priority: urgency === Urgency.Urgent ? agedPriority(work) : 0 };
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
    const entries = new Set([...this.requests].map((request) => toEntry(request, nowMs)));
    const unavailable = new Set<string | DispatchRequest>();
    for (;;) {
      const next = this.startNext(entries, unavailable);
      if (next === undefined) return started;
      started.push(next);
    }
  }

  /** Starts the first request in order for which there is a place; undefined if there is none. */
  private startNext(
    entries: Set<Entry>,
    unavailable: Set<string | DispatchRequest>,
  ): DispatchRequest | undefined {
    const isOldestTurn = (this.startCount + 1) % OLDEST_TURN_INTERVAL === 0;
    const compare: Compare = isOldestTurn ? bySince : (one, other) => this.compare(one, other);
    let heads = DispatchQueue.heads(entries, unavailable, compare);
    while (heads.length > 0) {
      const [head] = heads;
      const { request } = head;
      if (request.isOver()) {
        entries.delete(head);
        heads = DispatchQueue.heads(entries, unavailable, compare);
      } else if (request.tryStart()) {
        entries.delete(head);
        this.startCount += 1;
        this.fairness.charge(request.workspace, request.tokens);
        this.remove(request);
        return request;
      } else {
        unavailable.add(needOf(request));
        heads.shift();
      }
    }
    return undefined;
  }

  /** Returns the first request of each need, in order. Finding them takes one pass, so that not all have to be sorted. */
  private static heads(
    entries: ReadonlySet<Entry>,
    unavailable: ReadonlySet<string | DispatchRequest>,
    compare: Compare,
  ): Entry[] {
    const heads = new Map<string | DispatchRequest, Entry>();
    entries.forEach((entry) => {
      const need = needOf(entry.request);
      if (unavailable.has(need)) return;
      const head = heads.get(need);
      if (head === undefined || compare(entry, head) < 0) heads.set(need, entry);
    });
    return [...heads.values()].sort(compare);
  }

  private compare(one: Entry, other: Entry): number {
    const { fairness } = this;
    return (
      one.urgency - other.urgency ||
      one.priority - other.priority ||
      fairness.virtualStart(one.request.workspace) -
        fairness.virtualStart(other.request.workspace) ||
      compareWaiting(one.work, other.work) ||
      bySince(one, other)
    );
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
