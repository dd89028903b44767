import type { Clock } from '@wisteriapath/model';
import type { EventLog, TargetTable } from '@wisteriapath/fleet';
import { DispatchQueue, type DispatchRequest } from '@wisteriapath/scheduling';
import type AdmittedRequest from './AdmittedRequest';
import type ChosenTarget from './ChosenTarget';
import type EdgeMetrics from './EdgeMetrics';
import type WaitOrder from './WaitOrder';

interface Dependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly table: Pick<TargetTable, 'changes'>;
}

interface Search {
  /** Whether what the request needs may differ from that of others for the same model, as it excludes targets. */
  readonly isSpecial: boolean;
  /** Time at which the caller leaves if nothing has come until then. */
  readonly leavesAtMs: number;
  readonly isOver: () => boolean;
  /** Reserves a target; undefined if none can take the request now. */
  readonly reserve: () => ChosenTarget | undefined;
}

/** A request in the queue. */
interface Ticket {
  /** The target that was reserved, which the caller has to release or use; undefined until then. */
  readonly target: ChosenTarget | undefined;
  /** Resolves once a target has been reserved; rejects if the search for one failed with an error. */
  readonly chosen: Promise<void>;
  /** Ends the wait. */
  readonly leave: () => void;
}

/**
 * Interval at which targets are looked for while requests wait and no change is known: ends of pauses and back-offs, and the rates of
 * cold targets. One for all requests, as short as each had for itself before.
 */
const RECHECK_INTERVAL_MS = 25;
/** Shorter waits are no decision of the queue: a place was free. */
const MIN_LOGGED_WAIT_MS = 1;
/** Tokens that each request counts at least, also where neither it nor its workspace says how many it has. */
const MIN_TOKENS = 1;

/** Gives the places at the targets of deferring pools to the requests of this instance that wait for them, in order. */
class RequestDispatcher {
  private readonly queue = new DispatchQueue();

  private isRunning = false;

  private isDispatchScheduled = false;

  constructor(private readonly deps: Dependencies) {
    deps.metrics.gauge(
      'dispatch_queue',
      'Number of requests of deferring pools that wait for a target',
      () => this.queue.size,
    );
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.queue.size;
  }

  /** Puts a request into the queue; a target is looked for before this returns. */
  enter(request: AdmittedRequest, order: WaitOrder, search: Search): Ticket {
    const { clock, log, metrics } = this.deps;
    const { pool, route, workspace, fields } = request;
    const sinceMs = clock.nowMs();
    let reserved: ChosenTarget | undefined;
    let settle: () => void = () => {};
    let fail: (error: unknown) => void = () => {};
    const chosen = new Promise<void>((resolve, reject) => {
      settle = resolve;
      fail = reject;
    });
    // An error is met by whoever awaits the target, if the request still waits.
    chosen.catch(() => {});
    const recordStart = (target: string) => {
      const waitedMs = clock.nowMs() - sinceMs;
      metrics.dispatched.inc({ pool: pool.name, priority: order.priority });
      if (waitedMs < MIN_LOGGED_WAIT_MS) return;
      log.event('request_dispatched', {
        request: fields.attemptId,
        route: route.name,
        workspace: workspace?.name ?? '',
        model: fields.model,
        target,
        priority: order.priority,
        waited_ms: Math.round(waitedMs),
        // The others that still wait: this one was started before them.
        others: this.queue.size - 1,
      });
    };
    const entry: DispatchRequest = {
      priority: order.priority,
      latencyTargetMs: route.latencyTargetMs,
      sinceMs,
      leavesAtMs: search.leavesAtMs,
      workspace: workspace?.name ?? '',
      tokens: Math.max(MIN_TOKENS, fields.tokens ?? workspace?.defaultTokens ?? 0),
      need: search.isSpecial ? null : JSON.stringify([pool.name, fields.model, fields.adapter]),
      isOver: search.isOver,
      tryStart: () => {
        try {
          const target = search.reserve();
          if (target === undefined) return false;
          recordStart(target.view.entry.id);
          reserved = this.withRelease(target);
          settle();
        } catch (error) {
          fail(error);
        }
        return true;
      },
    };
    const leave = this.queue.add(entry);
    this.dispatch();
    void this.run();
    return {
      chosen,
      leave,
      get target() {
        return reserved;
      },
    };
  }

  /** Returns the target with a reservation whose end makes the queue look for places again. */
  private withRelease({ view, reservation }: ChosenTarget): ChosenTarget {
    return {
      view,
      reservation: {
        ...reservation,
        release: () => {
          reservation.release();
          this.scheduleDispatch();
        },
        complete: (isFailure) => {
          reservation.complete(isFailure);
          this.scheduleDispatch();
        },
      },
    };
  }

  /** Dispatches after the current task, so that several changes in it cost one look. */
  private scheduleDispatch(): void {
    if (this.isDispatchScheduled || this.queue.size === 0) return;
    this.isDispatchScheduled = true;
    queueMicrotask(() => {
      this.isDispatchScheduled = false;
      this.dispatch();
    });
  }

  /** Dispatches at each change while requests wait. */
  private async run(): Promise<void> {
    const { clock, table } = this.deps;
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.queue.size > 0) {
      await Promise.race([table.changes.next(), clock.sleep(RECHECK_INTERVAL_MS)]);
      this.dispatch();
    }
    this.isRunning = false;
  }

  private dispatch(): void {
    this.queue.dispatch(this.deps.clock.nowMs());
  }
}

export default RequestDispatcher;
