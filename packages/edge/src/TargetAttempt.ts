import { RouteSemantics } from '@wisteriapath/fleet';
import { framingOf, hasBody, ResponseFraming } from '@wisteriapath/response-ends';
import type AdmittedRequest from './AdmittedRequest';
import AttemptOutcome from './AttemptOutcome';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeDependencies from './EdgeDependencies';
import EventBoundaries from './EventBoundaries';
import type EventFramer from './EventFramer';
import ExchangeEnd from './ExchangeEnd';
import type HeaderRecord from './HeaderRecord';
import type KeptResponse from './KeptResponse';
import type MemoryReservation from './MemoryReservation';
import type ResponseFields from './ResponseFields';
import ResponseMode from './ResponseMode';
import StallWatch from './StallWatch';
import isTargetFailure from './isTargetFailure';
import maxResponseBytes from './maxResponseBytes';
import mediaTypeOf from './mediaTypeOf';
import sendResponse from './sendResponse';

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
  /** Called when the target has begun to answer: with a complete event of a stream, or with a whole response. */
  readonly onBegun: () => void;
}

/** Time beyond the deadline for which the target's own timeout response is awaited. */
const DEADLINE_GRACE_MS = 40;
const OK = 200;
const MULTIPLE_CHOICES = 300;
const SERVER_ERROR = 500;
const EVENT_STREAM = 'text/event-stream';
/** Time to wait for the end of a refusal before its connection is closed. */
const REFUSAL_BODY_TIMEOUT_MS = 150;
/** Bytes that may wait for a caller who reads slowly, where the target cannot be made to wait. */
const MAX_UNSENT_BYTES = 8 * 1_024 * 1_024;

/** One attempt to run a request at a target. */
class TargetAttempt {
  private mode = ResponseMode.None;

  private status = 0;

  private headers: HeaderRecord = {};

  private fields: ResponseFields | null = null;

  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  /** What the response holds here, until the caller has taken it. */
  private readonly memory: MemoryReservation;

  /** Where the events of a stream end that is passed on as it arrives. */
  private readonly boundaries = new EventBoundaries();

  private refusalTimer: NodeJS.Timeout | undefined;

  private abort: (() => void) | undefined;

  private lastByteAtMs: number;

  private hasTimedOut = false;

  private hasStalled = false;

  private exchange: ReturnType<EdgeDependencies['connections']['send']> | undefined;

  /** How the exchange ended; null until then. */
  exchangeEnd: ExchangeEnd | null = null;

  /** When the first event of the target's stream was complete, on the monotonic clock; undefined if none was. */
  firstEventAtMs: number | undefined;

  /** The complete response of the target, if it was buffered. */
  keptResponse: KeptResponse | null = null;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly context: Context,
  ) {
    this.lastByteAtMs = deps.clock.nowMs();
    this.memory = deps.memory.reserve();
    this.memory.onGiveWay = () => this.giveWay();
  }

  /** Runs the attempt and ends its reservation. */
  async run(): Promise<AttemptOutcome> {
    const { deps, context } = this;
    const { request, caller } = context;
    const { reservation } = context.chosen;
    const { pool } = request;
    const exchange = deps.connections.send(this.buildRequest(), {
      onHeaders: (status, headers) => {
        const isValid = this.handleHeaders(status, headers);
        if (this.fields !== null) {
          reservation.recordResponse(this.fields);
          deps.signals.record(context.chosen.view.entry, this.fields);
        }
        return isValid;
      },
      onData: (chunk) => {
        reservation.recordData();
        return this.handleData(chunk, () => exchange.resume());
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
    this.releaseMemory(outcome);
    if (outcome === AttemptOutcome.NotSent) reservation.recordConnectFailure();
    reservation.complete(isTargetFailure(outcome, this.status));
    deps.metrics.exchanges.inc({ pool: pool.name, end });
    return outcome;
  }

  get statusCode(): number {
    return this.status;
  }

  /** What bounded the response, and how the exchange ended, for the log. */
  get endFields() {
    const framing = this.mode === ResponseMode.None ? ResponseFraming.None : this.framing;
    const { errorCode = '', mayHaveSent = false, isAmbiguous = false } = this.exchange ?? {};
    return {
      framing,
      end: this.exchangeEnd ?? '',
      error: errorCode,
      handed_over: mayHaveSent,
      stated_not_run: this.fields?.statesNotExecuted ?? false,
      ambiguous: isAmbiguous,
    };
  }

  get isMisdirected(): boolean {
    return this.fields?.isMisdirected ?? false;
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
      silentMs: () => deps.clock.nowMs() - this.lastByteAtMs,
      hasBegun: () => this.mode === ResponseMode.Streamed,
      giveUp: () => {
        this.hasStalled = true;
        this.abort?.();
      },
    });
  }

  private handleHeaders(status: number, headers: HeaderRecord): boolean {
    const { request, caller } = this.context;
    const fields = this.deps.dialect.parseResponse(status, headers);
    if (!this.isOwnResponse(fields)) return false;
    this.status = status;
    this.headers = headers;
    this.fields = fields;
    const isSuccess = status >= OK && status < MULTIPLE_CHOICES;
    if (this.isRejection(fields)) {
      this.mode = ResponseMode.NotExecuted;
      this.refusalTimer = setTimeout(() => this.abort?.(), REFUSAL_BODY_TIMEOUT_MS);
    } else if (isSuccess && (!fields.hasReceipt || !this.fitsStartedResponse())) {
      this.mode = ResponseMode.Invalid;
    } else if (isSuccess && request.route.semantics === RouteSemantics.Stream) {
      this.mode = ResponseMode.Streamed;
      if (!caller.hasStarted) caller.start(status, this.responseHeaders());
    } else this.mode = ResponseMode.Buffered;
    return this.mode !== ResponseMode.Invalid;
  }

  /** Whether a response names this request. One that names none may be a late copy of an earlier response. */
  private isOwnResponse({ attemptId }: ResponseFields): boolean {
    return attemptId === this.context.request.fields.attemptId;
  }

  /**
   * Whether the target has not run the request: by its statement, or by a status that is one where another run would do no harm.
   * A statement that may be a copy of an earlier one proves nothing.
   */
  private isRejection({ statesNotExecuted, isMisdirected }: ResponseFields): boolean {
    if (this.exchange?.isAmbiguous) return false;
    return statesNotExecuted || (isMisdirected && this.context.mayRunAgain());
  }

  /** Whether a response can go on with what the caller has received so far: a stream of the same kind. */
  private fitsStartedResponse(): boolean {
    const { caller } = this.context;
    if (!caller.hasStarted) return true;
    const hasSameType = mediaTypeOf(this.headers['content-type']) === caller.startedMediaType;
    return this.status === OK && hasSameType;
  }

  private responseHeaders(): Record<string, string | string[]> {
    const headers = this.deps.dialect.callerHeaders(this.headers);
    // A stream may be resumed at another target, or end inside an event when all bytes of its length have been passed on.
    delete headers['content-length'];
    return headers;
  }

  /** What bounds the response of the target. */
  private get framing(): ResponseFraming {
    return framingOf(this.method, this.status, this.headers);
  }

  private get method(): string {
    return this.context.caller.request.method ?? 'GET';
  }

  private handleData(chunk: Buffer, resume: () => void): boolean {
    this.lastByteAtMs = this.deps.clock.nowMs();
    if (this.mode === ResponseMode.Streamed) return this.passOn(chunk, resume);
    this.receivedBytes += chunk.length;
    if (this.isOversized(this.receivedBytes)) this.abortOversized();
    else if (this.memory.hold(this.receivedBytes)) this.chunks.push(chunk);
    return true;
  }

  /** Passes on a chunk of a stream: at once, or up to the end of its last event if the stream can be resumed. */
  private passOn(chunk: Buffer, resume: () => void): boolean {
    const { caller, framer, onBegun } = this.context;
    const bytes = framer?.push(chunk) ?? chunk;
    if (framer === null) this.boundaries.push(chunk);
    const { hasEvent, partialBytes } = framer ?? this.boundaries;
    if (this.isOversized(partialBytes)) {
      this.abortOversized();
      return true;
    }
    if (hasEvent) {
      this.firstEventAtMs ??= this.lastByteAtMs;
      onBegun();
    }
    const mayContinue = caller.write(bytes, resume);
    const { unsentBytes } = caller;
    if (unsentBytes > MAX_UNSENT_BYTES) this.abortUnread();
    this.memory.hold(unsentBytes + (framer?.partialBytes ?? 0));
    return mayContinue;
  }

  /** Whether a response body, or one event of a stream, is larger than any that is sound. */
  private isOversized(bytes: number): boolean {
    return bytes > maxResponseBytes[this.mode];
  }

  /** Breaks off the response to a caller who reads too slowly. */
  private abortUnread(): void {
    const { request, caller } = this.context;
    const { unsentBytes } = caller;
    this.deps.log.event('caller_too_slow', {
      request: request.fields.attemptId,
      unsent_bytes: unsentBytes,
    });
    caller.abort();
  }

  /** Ends the exchange whose response holds more than any other body, once there is no memory left for all of them. */
  private giveWay(): void {
    if (this.context.caller.unsentBytes > 0) this.abortUnread();
    else this.abortOversized();
  }

  /** Releases what the response holds: once the caller has taken it, or at once if it is not passed on. */
  private releaseMemory(outcome: AttemptOutcome): void {
    const isAnswer = outcome === AttemptOutcome.Answered;
    // A kept failure may still be passed on after further attempts, whose response must not be ended for it.
    if (!isAnswer) this.memory.onGiveWay = null;
    if (isAnswer || this.keptResponse !== null) {
      this.context.caller.onClosed(() => this.memory.release());
    } else this.memory.release();
  }

  /** Aborts an exchange whose response exceeds its size limit. */
  private abortOversized(): void {
    const { chosen, request } = this.context;
    const fields = { request: request.fields.attemptId, target: chosen.view.entry.id };
    this.deps.log.event('answer_too_long', { ...fields, mode: this.mode });
    this.chunks = [];
    this.abort?.();
  }

  private outcomeOf(end: ExchangeEnd): AttemptOutcome {
    const { caller, framer } = this.context;
    if (this.mode === ResponseMode.NotExecuted) return AttemptOutcome.NotExecuted;
    if (caller.disconnectSignal.aborted) return AttemptOutcome.CallerDisconnected;
    if (end === ExchangeEnd.Withheld) return AttemptOutcome.Withheld;
    if (end === ExchangeEnd.Complete || end === ExchangeEnd.Closed) {
      return this.completeResponse(end);
    }
    framer?.reset();
    if (this.deps.stopSignal.aborted) return AttemptOutcome.Stopped;
    if (this.hasStalled) return AttemptOutcome.Stalled;
    if (this.hasTimedOut) return AttemptOutcome.DeadlineExceeded;
    return end === ExchangeEnd.NotSent ? AttemptOutcome.NotSent : AttemptOutcome.Broken;
  }

  private completeResponse(end: ExchangeEnd): AttemptOutcome {
    const { caller, framer, keepsFailure } = this.context;
    if (this.mode === ResponseMode.Streamed) {
      if (this.isStreamBrokenOff(end)) {
        framer?.reset();
        return AttemptOutcome.Broken;
      }
      caller.end();
      return AttemptOutcome.Answered;
    }
    if (this.mode !== ResponseMode.Buffered || this.memory.hasGivenWay) {
      return AttemptOutcome.Broken;
    }
    if (this.fields?.isPromiseToCallers) return AttemptOutcome.UnconfirmedRefusal;
    this.keptResponse = this.bufferedResponse();
    this.context.onBegun();
    if (caller.hasStarted) return AttemptOutcome.Failed;
    if (this.status >= SERVER_ERROR && keepsFailure) return AttemptOutcome.Failed;
    sendResponse(caller, this.keptResponse);
    return AttemptOutcome.Answered;
  }

  private bufferedResponse(): KeptResponse {
    const { status } = this;
    const body = this.chunks;
    const headers = { ...this.deps.dialect.callerHeaders(this.headers) };
    if (hasBody(this.method, status)) headers['content-length'] = String(this.receivedBytes);
    return { status, headers, body };
  }

  /** Whether a stream ended inside an event, or only its connection ended it and it had no event. */
  private isStreamBrokenOff(end: ExchangeEnd): boolean {
    const { framer } = this.context;
    const isInsideEvent = framer?.hasPartialEvent ?? this.boundaries.isInsideEvent;
    const { hasEvent } = framer ?? this.boundaries;
    return this.isEventStream && (isInsideEvent || (end === ExchangeEnd.Closed && !hasEvent));
  }

  private get isEventStream(): boolean {
    const mediaType = mediaTypeOf(this.headers['content-type']);
    return mediaType === '' || mediaType === EVENT_STREAM || this.context.framer !== null;
  }
}

export default TargetAttempt;
