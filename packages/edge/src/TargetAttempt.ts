import { RouteSemantics } from '@wisteriapath/fleet';
import { hasBody } from '@wisteriapath/response-ends';
import type AdmittedRequest from './AdmittedRequest';
import AttemptOutcome from './AttemptOutcome';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeDependencies from './EdgeDependencies';
import EventGaps from './EventGaps';
import type EventFramer from './EventFramer';
import ExchangeEnd from './ExchangeEnd';
import type HeaderRecord from './HeaderRecord';
import type KeptResponse from './KeptResponse';
import ResponseBody from './ResponseBody';
import ResponseHead from './ResponseHead';
import ResponseMode from './ResponseMode';
import StallWatch from './StallWatch';
import isTargetFailure from './isTargetFailure';
import sendResponse from './sendResponse';
import workUnits from './workUnits';

interface Context {
  readonly chosen: ChosenTarget;
  readonly request: AdmittedRequest;
  readonly caller: CallerExchange;
  /** Present if the stream can be resumed at another target. */
  readonly framer: EventFramer | null;
  /** Whether the request may still be sent. */
  readonly maySend: () => boolean;
  /** Whether the request may be run again, by what the operator says now. */
  readonly mayRunAgain: () => boolean;
  /** Whether an error response of the target is kept instead of passed on, because another attempt may follow. */
  readonly keepsFailure: boolean;
  /** Whether another attempt may follow this one, which runs, by all but the retries that are left. */
  readonly mayGoElsewhere: () => boolean;
  /** Takes what another attempt needs, while this one runs; returns false if there may be none. */
  readonly tryReserveRetry: () => boolean;
  /** Called when the target has begun to answer: with a complete event of a stream, or with a whole response. */
  readonly onBegun: () => void;
}

/** Time beyond the deadline for which the target's own timeout response is awaited. */
const DEADLINE_GRACE_MS = 40;
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;
/** Time to wait for the end of a refusal before its connection is closed. */
const REFUSAL_BODY_TIMEOUT_MS = 150;

/** One attempt to run a request at a target. */
class TargetAttempt {
  private readonly head: ResponseHead;

  private readonly body: ResponseBody;

  private refusalTimer: NodeJS.Timeout | undefined;

  private abort: (() => void) | undefined;

  /** Measures the time between events, where targets report how long work takes. */
  private gaps: EventGaps | undefined;

  /** Longest time between events that was expected of the target when the response began; 0 if none was. */
  private expectedGapMs = 0;

  private hasTimedOut = false;

  private hasStalled = false;

  private isMoved = false;

  private sentAtMs = 0;

  private exchange: ReturnType<EdgeDependencies['connections']['send']> | undefined;

  /** How the exchange ended; null until then. */
  exchangeEnd: ExchangeEnd | null = null;

  /** The complete response of the target, if it was buffered. */
  keptResponse: KeptResponse | null = null;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly context: Context,
  ) {
    this.head = new ResponseHead(deps.dialect, {
      ...context,
      isAmbiguous: () => this.exchange?.isAmbiguous ?? false,
    });
    this.body = new ResponseBody(deps, {
      ...context,
      mode: () => this.head.mode,
      abort: () => this.abort?.(),
    });
  }

  /** Runs the attempt and ends its reservation. */
  async run(): Promise<AttemptOutcome> {
    const { deps, context } = this;
    const { request, caller } = context;
    const { reservation } = context.chosen;
    const { pool } = request;
    this.sentAtMs = deps.clock.nowMs();
    const exchange = deps.connections.send(this.buildRequest(), {
      onHeaders: (status, headers) => {
        const isValid = this.handleHeaders(status, headers);
        const { fields } = this.head;
        if (fields !== null) {
          reservation.recordResponse(fields);
          this.startToMeasure();
          deps.signals.record(context.chosen.view.entry, fields);
        }
        return isValid;
      },
      onData: (chunk) => {
        reservation.recordData();
        const mayContinue = this.body.receive(chunk, () => exchange.resume());
        this.gaps?.push(chunk, mayContinue);
        return mayContinue;
      },
    });
    this.exchange = exchange;
    this.abort = () => exchange.abort();
    const abortOnDisconnect = () => {
      if (request.route.semantics !== RouteSemantics.AtMostOnce) exchange.abort();
    };
    const leftMs = request.deadlineAtMs - deps.clock.nowMs() + DEADLINE_GRACE_MS;
    const deadlineTimer = setTimeout(
      () => {
        this.hasTimedOut = true;
        this.abort?.();
      },
      Math.max(0, leftMs),
    );
    const stallWatch = context.framer === null ? null : this.createStallWatch();
    stallWatch?.start();
    const abortOnStop = () => exchange.abort();
    caller.disconnectSignal.addEventListener('abort', abortOnDisconnect);
    deps.stopSignal.addEventListener('abort', abortOnStop);
    const end = await exchange.ended;
    this.exchangeEnd = end;
    clearTimeout(deadlineTimer);
    stallWatch?.stop();
    clearTimeout(this.refusalTimer);
    caller.disconnectSignal.removeEventListener('abort', abortOnDisconnect);
    deps.stopSignal.removeEventListener('abort', abortOnStop);
    const outcome = this.outcomeOf(end);
    this.body.release(outcome === AttemptOutcome.Answered, this.keptResponse !== null);
    if (outcome === AttemptOutcome.NotSent) reservation.recordConnectFailure();
    this.gaps?.end();
    this.recordTime(outcome);
    this.recordGapMiss();
    reservation.complete(isTargetFailure(outcome, this.statusCode));
    deps.metrics.exchanges.inc({ pool: pool.name, end });
    return outcome;
  }

  get statusCode(): number {
    return this.head.status;
  }

  /** When the first event of the target's stream was complete, on the monotonic clock; undefined if none was. */
  get firstEventAtMs(): number | undefined {
    return this.body.firstEventAtMs;
  }

  /** What bounded the response, and how the exchange ended, for the log. */
  get endFields() {
    const { errorCode = '', mayHaveSent = false, isAmbiguous = false } = this.exchange ?? {};
    return {
      framing: this.head.framingOf(this.method),
      end: this.exchangeEnd ?? '',
      error: errorCode,
      handed_over: mayHaveSent,
      stated_not_run: this.head.fields?.statesNotExecuted ?? false,
      ambiguous: isAmbiguous,
    };
  }

  get isMisdirected(): boolean {
    return this.head.fields?.isMisdirected ?? false;
  }

  private buildRequest() {
    const { chosen, request, caller, framer } = this.context;
    const { address, id } = chosen.view.entry;
    const { workspace, route, deadlineAtMs, body } = request;
    const remainingMs = Math.max(1, Math.floor(deadlineAtMs - this.deps.clock.nowMs()));
    return {
      address,
      method: this.method,
      path: caller.request.url ?? '/',
      headers: this.deps.dialect.targetHeaders(caller.request.rawHeaders, {
        targetId: id,
        remainingMs,
        workspace: workspace?.name ?? null,
        priority: workspace?.priority ?? route.priority,
        resumeAfterEventId: framer?.lastEventId ?? null,
      }),
      body,
      exchangeId: request.fields.attemptId,
      maySend: () => this.context.maySend() && this.deps.table.mayReceive(chosen.view.entry),
    };
  }

  private createStallWatch(): StallWatch {
    const { deps, context } = this;
    return new StallWatch(deps, {
      request: context.request,
      target: context.chosen.view.entry,
      silentMs: () => this.body.silentMs,
      hasBegun: () => this.head.mode === ResponseMode.Streamed,
      mayGoElsewhere: context.mayGoElsewhere,
      tryGiveUp: () => {
        this.hasStalled = context.tryReserveRetry();
        if (this.hasStalled) this.abort?.();
        return this.hasStalled;
      },
      expectedEndMs: () => this.sentAtMs + deps.stopGate.expectedMs(context.request, this.sentAtMs),
      tryMove: () => {
        this.isMoved = !deps.isStopping() && context.tryReserveRetry();
        if (this.isMoved) this.abort?.();
        return this.isMoved;
      },
    });
  }

  private handleHeaders(status: number, headers: HeaderRecord): boolean {
    const { head } = this;
    const isValid = head.accept(status, headers);
    if (head.mode === ResponseMode.NotExecuted) {
      this.refusalTimer = setTimeout(() => this.abort?.(), REFUSAL_BODY_TIMEOUT_MS);
    }
    if (head.mode === ResponseMode.Streamed) this.startStream();
    return isValid;
  }

  private startToMeasure(): void {
    if (this.head.mode !== ResponseMode.Streamed || !this.statesWorkTime) return;
    const { chosen, request } = this.context;
    const { reservation, view } = chosen;
    const expected = this.deps.loads.pace.expect(view.entry.id, request.fields.model);
    this.expectedGapMs = expected.slowGapMs ?? 0;
    this.gaps = new EventGaps(this.deps.clock, (gapMs) => reservation.recordGap(gapMs));
  }

  /** Records how long the target took to begin, unless the request may have waited in its queue. */
  private recordTime(outcome: AttemptOutcome): void {
    const { chosen, request } = this.context;
    const { mode, fields } = this.head;
    if (!this.statesWorkTime || fields?.load?.waiting !== 0) return;
    const units = workUnits(request.fields, mode === ResponseMode.Streamed);
    const { firstEventAtMs } = this.body;
    if (mode === ResponseMode.Streamed && firstEventAtMs !== undefined) {
      chosen.reservation.recordFirstEvent(firstEventAtMs - this.sentAtMs, units);
      return;
    }
    const isWhole = mode === ResponseMode.Buffered && outcome === AttemptOutcome.Answered;
    if (!isWhole || this.statusCode >= CLIENT_ERROR) return;
    chosen.reservation.recordResponseTime(this.deps.clock.nowMs() - this.sentAtMs, units);
  }

  /** Logs a stream with a pause that exceeds the gap target of its route. */
  private recordGapMiss(): void {
    const { deps, gaps, expectedGapMs } = this;
    const { chosen, request } = this.context;
    const { route, pool, fields } = request;
    if (gaps === undefined || route.gapTargetMs <= 0 || gaps.longestMs <= route.gapTargetMs) return;
    deps.metrics.gapMisses.inc({ pool: pool.name });
    deps.log.event('gap_target_missed', {
      request: fields.attemptId,
      route: route.name,
      model: fields.model,
      target: chosen.view.entry.id,
      longest_ms: Math.round(gaps.longestMs),
      expected_ms: Math.round(expectedGapMs),
      gap_target_ms: route.gapTargetMs,
    });
  }

  /** Whether the response states how long work takes; where none does, nothing is measured. */
  private get statesWorkTime(): boolean {
    return typeof this.head.fields?.load?.workTimeFactor === 'number';
  }

  private startStream(): void {
    const { caller } = this.context;
    if (caller.hasStarted) return;
    const headers = this.head.callerHeaders;
    // A stream may be resumed at another target, or end inside an event when all bytes of its length have been passed on.
    delete headers['content-length'];
    caller.start(this.head.status, headers);
  }

  private get method(): string {
    return this.context.caller.request.method ?? 'GET';
  }

  private outcomeOf(end: ExchangeEnd): AttemptOutcome {
    const { caller, framer } = this.context;
    if (this.head.mode === ResponseMode.NotExecuted) return AttemptOutcome.NotExecuted;
    if (caller.disconnectSignal.aborted) return AttemptOutcome.CallerDisconnected;
    if (end === ExchangeEnd.Withheld) return AttemptOutcome.Withheld;
    if (end === ExchangeEnd.Complete || end === ExchangeEnd.Closed) {
      return this.completeResponse(end);
    }
    framer?.reset();
    if (this.deps.stopSignal.aborted) return AttemptOutcome.Stopped;
    if (this.isMoved) return AttemptOutcome.Moved;
    if (this.hasStalled) return AttemptOutcome.Stalled;
    if (this.hasTimedOut) return AttemptOutcome.DeadlineExceeded;
    return end === ExchangeEnd.NotSent ? AttemptOutcome.NotSent : AttemptOutcome.Broken;
  }

  private completeResponse(end: ExchangeEnd): AttemptOutcome {
    const { caller, framer, keepsFailure } = this.context;
    const { mode, fields, status } = this.head;
    if (mode === ResponseMode.Streamed) {
      if (this.isStreamBrokenOff(end)) {
        framer?.reset();
        return AttemptOutcome.Broken;
      }
      caller.end();
      return AttemptOutcome.Answered;
    }
    if (mode !== ResponseMode.Buffered || this.body.hasGivenWay) {
      return AttemptOutcome.Broken;
    }
    if (fields?.isPromiseToCallers) return AttemptOutcome.UnconfirmedRefusal;
    this.keptResponse = this.bufferedResponse();
    this.context.onBegun();
    if (caller.hasStarted) return AttemptOutcome.Failed;
    if (status >= SERVER_ERROR && keepsFailure) return AttemptOutcome.Failed;
    sendResponse(caller, this.keptResponse);
    return AttemptOutcome.Answered;
  }

  private bufferedResponse(): KeptResponse {
    const { status, callerHeaders: headers } = this.head;
    const body = this.body.kept;
    if (hasBody(this.method, status)) headers['content-length'] = String(body.sizeBytes);
    return { status, headers, body };
  }

  /** Whether a stream ended inside an event, or only its connection ended it and it had no event. */
  private isStreamBrokenOff(end: ExchangeEnd): boolean {
    const isSeries = this.head.isEventStream || this.context.framer !== null;
    const { isInsideEvent, hasEvent } = this.body;
    return isSeries && (isInsideEvent || (end === ExchangeEnd.Closed && !hasEvent));
  }
}

export default TargetAttempt;
