import {
  shortestLoad,
  type TargetView,
  timeUntilHeld,
  type WaitingRequests,
} from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type ChosenTarget from './ChosenTarget';
import type EdgeDependencies from './EdgeDependencies';
import TargetRanking from './TargetRanking';
import type TargetSearch from './TargetSearch';

const POLL_INTERVAL_MS = 25;
/** Interval at which a request in the queue looks whether its caller still waits and its model can still be held in time. */
const QUEUED_CHECK_INTERVAL_MS = 100;
/** Time for which a request that was told to come back still counts as waiting for its model. */
const RETURN_TIMEOUT_MS = 6_000;
const RETURN_POLL_INTERVAL_MS = 200;

/** Chooses targets for requests, and waits if none is available. */
class TargetFinder {
  private readonly ranking: TargetRanking;

  constructor(private readonly deps: EdgeDependencies) {
    this.ranking = new TargetRanking(deps);
  }

  /** Returns the best target with a reservation on it; undefined if none became available in time. */
  async find(request: AdmittedRequest, search: TargetSearch): Promise<ChosenTarget | undefined> {
    const { clock, table, waiting } = this.deps;
    const { pool, route, fields } = request;
    // Registered once per wait, so that the placers learn how long the request has waited.
    let stopWaiting: (() => void) | undefined;
    const ticket = this.enterQueue(request, search);
    try {
      for (;;) {
        if (ticket?.target !== undefined) return ticket.target;
        if (search.isOver()) return undefined;
        const chosen = ticket === undefined ? this.reserveBest(request, search) : undefined;
        if (chosen !== undefined) return chosen;
        const leftMs = this.endAtMs(search) - clock.nowMs();
        if (leftMs <= 0 || (this.pauseMs(pool.name) ?? 0) >= leftMs) return undefined;
        const isAbsent = this.isModelAbsent(request);
        if (isAbsent) {
          stopWaiting ??= waiting.add(
            { pool: pool.name, model: fields.model, adapter: fields.adapter },
            {
              latencyTargetMs: route.latencyTargetMs,
              deadlineAtMs: request.deadlineAtMs,
              ...this.demandOrder(request, search),
            },
          );
          if (this.heldInMs(request) > leftMs) {
            void this.awaitReturn(request, stopWaiting);
            stopWaiting = undefined;
            return undefined;
          }
          if (this.isForecastLate(request, leftMs)) return undefined;
        } else {
          stopWaiting?.();
          stopWaiting = undefined;
        }
        await (ticket === undefined
          ? Promise.race([
              table.changes.next(),
              clock.sleep(Math.min(leftMs, isAbsent ? POLL_INTERVAL_MS * 4 : POLL_INTERVAL_MS)),
            ])
          : Promise.race([ticket.chosen, clock.sleep(Math.min(leftMs, QUEUED_CHECK_INTERVAL_MS))]));
      }
    } finally {
      ticket?.leave();
      stopWaiting?.();
    }
  }

  /** Returns when a search ends, on the monotonic clock. */
  private endAtMs({ untilMs, hasBegun }: TargetSearch): number {
    return hasBegun ? untilMs : Math.min(untilMs, this.deps.sendCutoffAtMs());
  }

  /** Puts a request of a deferring pool into the queue of this instance; the others look for a target by themselves. */
  private enterQueue(request: AdmittedRequest, search: TargetSearch) {
    const { clock, dispatcher } = this.deps;
    if (request.waitOrder === undefined) return undefined;
    return dispatcher.enter(request, request.waitOrder, {
      isSpecial: search.excluded.size > 0 || search.needsSpare?.() === true,
      leavesAtMs: search.leavesAtMs,
      isOver: () => search.isOver() || clock.nowMs() >= this.endAtMs(search),
      reserve: () => this.reserveBest(request, search),
    });
  }

  /** Returns the time after which an unserved request is best sent again; undefined if nothing tells. */
  retryAfterMs(request: AdmittedRequest): number | undefined {
    const pauseMs = this.pauseMs(request.pool.name);
    if (pauseMs !== undefined) return pauseMs;
    const heldInMs = this.isModelAbsent(request)
      ? Math.max(this.heldInMs(request), this.forecastMs(request))
      : 0;
    return heldInMs > 0 ? heldInMs : undefined;
  }

  /** Whether no engine that can be reached holds what the request needs. */
  private isModelAbsent({ pool, fields }: AdmittedRequest): boolean {
    const { table, loads } = this.deps;
    if (pool.engine === null) return false;
    const holding = table.holding(pool.name, fields.model, fields.adapter);
    return !holding.some(({ entry }) => loads.isReachable(entry.id));
  }

  /** Returns what the placers are told of how urgent a request is; nothing in pools that are not deferring. */
  private demandOrder(
    request: AdmittedRequest,
    { leavesAtMs }: TargetSearch,
  ): Pick<Parameters<WaitingRequests['add']>[1], 'order'> {
    const { waitOrder } = request;
    if (waitOrder === undefined) return {};
    return {
      order: { priority: waitOrder.priority, leavesAtMs, loadMs: () => this.loadMs(request) },
    };
  }

  /** Returns the shortest time of a load of the model of a request; 0 if an engine holds it, as adapters load within milliseconds. */
  private loadMs({ pool, fields }: AdmittedRequest): number {
    const { clock, table } = this.deps;
    const spec = pool.engine?.models.get(fields.model);
    if (spec === undefined || table.holding(pool.name, fields.model, null).length > 0) return 0;
    return shortestLoad(table.inService(pool.name), spec, clock.nowMs()).ms;
  }

  /** Returns the shortest time until an engine can hold the model of a request; 0 if one may at any moment. */
  private heldInMs({ pool, fields }: AdmittedRequest): number {
    const { clock, table } = this.deps;
    const spec = pool.engine?.models.get(fields.model);
    const isModelHeld = table.holding(pool.name, fields.model, null).length > 0;
    if (spec === undefined || isModelHeld) return 0;
    return timeUntilHeld(table.inService(pool.name), spec, clock.nowMs());
  }

  /** Returns when the placers expect the model of a request to be loaded; 0 if none says, or if the load has begun. */
  private forecastMs({ pool, fields, waitOrder }: AdmittedRequest): number {
    const { table } = this.deps;
    if (waitOrder === undefined) return 0;
    const isLoading = table.inService(pool.name).some(({ loading }) => loading === fields.model);
    return isLoading ? 0 : (table.forecasts.readyInMs(pool.name, fields.model) ?? 0);
  }

  /**
   * Whether a request is to be refused because the placers expect its model later than its caller waits. It does not count as waiting
   * until the caller comes back: there is too little capacity for what does wait.
   */
  private isForecastLate(request: AdmittedRequest, leftMs: number): boolean {
    const { log, metrics } = this.deps;
    const readyInMs = this.forecastMs(request);
    if (readyInMs <= leftMs) return false;
    const { pool, route, workspace, fields } = request;
    metrics.earlyRefusals.inc({ pool: pool.name });
    log.event('refused_early', {
      request: fields.attemptId,
      route: route.name,
      workspace: workspace?.name ?? '',
      model: fields.model,
      ready_in_ms: Math.round(readyInMs),
      left_ms: Math.round(leftMs),
    });
    return true;
  }

  /** Lets a request that was told to come back count as waiting, so that its model is loaded until then. */
  private async awaitReturn(request: AdmittedRequest, stopWaiting: () => void): Promise<void> {
    const { clock, sendCutoffAtMs } = this.deps;
    const untilMs = Math.min(
      clock.nowMs() + RETURN_TIMEOUT_MS,
      request.deadlineAtMs,
      sendCutoffAtMs(),
    );
    while (clock.nowMs() < untilMs && this.isModelAbsent(request)) {
      await clock.sleep(RETURN_POLL_INTERVAL_MS);
    }
    stopWaiting();
  }

  /** Returns the time after which a target of a pool takes requests again; undefined unless all of them are paused. */
  pauseMs(pool: string): number | undefined {
    const { clock, table } = this.deps;
    const pausesMs = table
      .inService(pool)
      .map(({ pausedUntilMs }) => pausedUntilMs - clock.nowMs());
    const shortestMs = Math.min(...pausesMs);
    return pausesMs.length > 0 && shortestMs > 0 ? shortestMs : undefined;
  }

  /** Reserves the best target synchronously, so that no other request can choose in between. */
  private reserveBest(
    request: AdmittedRequest,
    { excluded, needsSpare }: TargetSearch,
  ): ChosenTarget | undefined {
    const { loads, coldTargetLimiter } = this.deps;
    const { pool, fields } = request;
    const { model, adapter, attemptId } = fields;
    const mustBeSpare = needsSpare?.() === true;
    const view = this.ranking
      .rank(request, excluded)
      .filter((candidate) => !mustBeSpare || this.isSpare(request, candidate))
      .find((candidate) => coldTargetLimiter.tryTake(candidate, pool.coldPerS, attemptId));
    return view && { view, reservation: loads.reserve(view.entry.id, model, adapter) };
  }

  /** Whether another target could serve the requests for the same model if this one ended. */
  private isSpare({ pool, fields }: AdmittedRequest, { entry }: TargetView): boolean {
    const { table, loads } = this.deps;
    const holders =
      pool.engine === null
        ? table.inService(pool.name)
        : table.holding(pool.name, fields.model, null);
    return holders.some(({ entry: other }) => other.id !== entry.id && loads.isAnswering(other.id));
  }
}

export default TargetFinder;
