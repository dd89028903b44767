import { RouteSemantics } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type ResponseFields from './ResponseFields';
import AnswerMode from './AnswerMode';
import AnswerSize from './AnswerSize';
import AttemptOutcome from './AttemptOutcome';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeParts from './EdgeParts';
import type EventFramer from './EventFramer';
import ExchangeEnd from './ExchangeEnd';
import type HeaderRecord from './HeaderRecord';

interface KeptAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

interface Context {
  readonly chosen: ChosenTarget;
  readonly request: AdmittedRequest;
  readonly caller: CallerExchange;
  /** Present where the stream may go on elsewhere. */
  readonly framer: EventFramer | null;
  /** Whether a failure of the target is kept, because another attempt may follow. */
  readonly keepsFailure: boolean;
}

/** Time beyond the deadline for which the target's own word on it is awaited. */
const ANSWER_GRACE_MS = 40;
const OK = 200;
const NOT_OK = 300;
const SERVER_ERROR = 500;
/** Wait for the end of a refusal before its connection is given up. */
const REFUSAL_END_MS = 150;
const SILENCE_LOOK_MS = 250;
/** Pause in a stream that may go on elsewhere, after which its target is left. */
const SILENT_STREAM_MS = 1_200;
/** Wait for the first event of such a stream, beyond its latency target. */
const SILENT_START_MS = 1_500;

/** One exchange of a request with a target. */
class TargetAttempt {
  private mode = AnswerMode.None;

  private status = 0;

  private headers: HeaderRecord = {};

  private fields: ResponseFields | null = null;

  private chunks: Buffer[] = [];

  private readonly size = new AnswerSize();

  private refusalTimer: NodeJS.Timeout | undefined;

  private abort: (() => void) | undefined;

  private lastByteMs: number;

  private isOver = false;

  private isSilent = false;

  /** An answer that the target gave and that was not passed on. */
  kept: KeptAnswer | null = null;

  constructor(
    private readonly parts: EdgeParts,
    private readonly context: Context,
  ) {
    this.lastByteMs = parts.clock.nowMs();
  }

  async run(): Promise<AttemptOutcome> {
    const { parts, context } = this;
    const { request, caller } = context;
    const { passage } = context.chosen;
    const { pool } = request;
    const exchange = parts.connections.send(this.call(), {
      begin: (status, headers) => {
        const valid = this.begin(status, headers);
        if (this.fields !== null) passage.answered(this.fields);
        return valid;
      },
      data: (chunk) => {
        passage.heard();
        return this.data(chunk, () => exchange.resume());
      },
    });
    this.abort = () => exchange.abort();
    const leave = () => {
      if (request.route.semantics !== RouteSemantics.AtMostOnce) exchange.abort();
    };
    const leftMs = request.deadlineAtMs - parts.clock.nowMs() + ANSWER_GRACE_MS;
    const timer = setTimeout(
      () => {
        this.isOver = true;
        this.abort?.();
      },
      Math.max(0, leftMs),
    );
    const watch =
      context.framer === null ? undefined : setInterval(() => this.watch(), SILENCE_LOOK_MS);
    caller.gone.addEventListener('abort', leave);
    const end = await exchange.ended;
    clearTimeout(timer);
    clearInterval(watch);
    clearTimeout(this.refusalTimer);
    caller.gone.removeEventListener('abort', leave);
    const outcome = this.conclude(end);
    if (outcome === AttemptOutcome.NotSent) passage.refused();
    const isFailure = [AttemptOutcome.Broken, AttemptOutcome.NotSent, AttemptOutcome.Silent];
    const isBad = isFailure.includes(outcome) || this.status >= SERVER_ERROR;
    passage.ended(isBad || (outcome === AttemptOutcome.TimeOver && this.mode === AnswerMode.None));
    parts.metrics.exchanges.inc({ pool: pool.name, end });
    return outcome;
  }

  get statusCode(): number {
    return this.status;
  }

  get isMisdirected(): boolean {
    return this.fields?.isMisdirected ?? false;
  }

  private call() {
    const { chosen, request, caller, framer } = this.context;
    const { address, id } = chosen.view.entry;
    const { workspace, route, deadlineAtMs, body } = request;
    const remainingMs = Math.max(1, Math.floor(deadlineAtMs - this.parts.clock.nowMs()));
    return {
      address,
      method: caller.request.method ?? 'GET',
      path: caller.request.url ?? '/',
      headers: this.parts.dialect.targetHeaders(caller.request.rawHeaders, {
        targetId: id,
        remainingMs,
        workspace: workspace?.name ?? null,
        priority: workspace?.priority ?? route.priority,
        resumeAfterEventId: framer?.lastId ?? null,
      }),
      body,
    };
  }

  /** Leaves a target whose stream has fallen silent. */
  private watch(): void {
    const silentMs = this.parts.clock.nowMs() - this.lastByteMs;
    const { latencyTargetMs } = this.context.request.route;
    const limitMs =
      this.mode === AnswerMode.Streamed ? SILENT_STREAM_MS : latencyTargetMs + SILENT_START_MS;
    if (silentMs < limitMs || !this.hasAlternative()) return;
    this.isSilent = true;
    this.abort?.();
  }

  /** Whether the stream could go on at another target now. */
  private hasAlternative(): boolean {
    const { chosen, request } = this.context;
    const { model, adapter } = request.fields;
    return this.parts.table
      .holding(request.pool.name, model, adapter)
      .some(
        ({ entry }) => entry.id !== chosen.view.entry.id && this.parts.loads.isReachable(entry.id),
      );
  }

  private begin(status: number, headers: HeaderRecord): boolean {
    const { request, caller } = this.context;
    const fields = this.parts.dialect.parseResponse(status, headers);
    const isOther = fields.attemptId !== '' && fields.attemptId !== request.fields.attemptId;
    if (isOther) return false;
    this.status = status;
    this.headers = headers;
    this.fields = fields;
    const isSuccess = status >= OK && status < NOT_OK;
    if (fields.isNotExecuted) {
      this.mode = AnswerMode.NotRun;
      this.refusalTimer = setTimeout(() => this.abort?.(), REFUSAL_END_MS);
    } else if (isSuccess && !fields.hasReceipt) this.mode = AnswerMode.Invalid;
    else if (isSuccess && request.route.semantics === RouteSemantics.Stream) {
      this.mode = AnswerMode.Streamed;
      if (!caller.hasBegun) caller.begin(status, this.answerHeaders());
    } else this.mode = AnswerMode.Whole;
    return this.mode !== AnswerMode.Invalid;
  }

  private answerHeaders(): Record<string, string | string[]> {
    const headers = this.parts.dialect.callerHeaders(this.headers);
    // A stream that goes on elsewhere may have another length.
    if (this.context.framer !== null) delete headers['content-length'];
    return headers;
  }

  private data(chunk: Buffer, resume: () => void): boolean {
    this.lastByteMs = this.parts.clock.nowMs();
    const { caller, framer } = this.context;
    if (!this.size.add(this.mode, chunk)) {
      this.tooLong();
      return true;
    }
    if (this.mode === AnswerMode.Streamed) {
      return caller.write(framer === null ? chunk : framer.push(chunk), resume);
    }
    this.chunks.push(chunk);
    return true;
  }

  /** Gives up an exchange whose bytes can be no answer. */
  private tooLong(): void {
    const { chosen, request } = this.context;
    const fields = { request: request.fields.attemptId, target: chosen.view.entry.id };
    this.parts.log.event('answer_too_long', { ...fields, mode: this.mode });
    this.chunks = [];
    this.abort?.();
  }

  private conclude(end: ExchangeEnd): AttemptOutcome {
    const { caller, framer } = this.context;
    if (this.mode === AnswerMode.NotRun) return AttemptOutcome.NotRun;
    if (caller.gone.aborted) return AttemptOutcome.CallerLeft;
    if (end === ExchangeEnd.Complete) return this.complete();
    framer?.reset();
    if (this.isSilent) return AttemptOutcome.Silent;
    if (this.isOver) return AttemptOutcome.TimeOver;
    return end === ExchangeEnd.NotSent ? AttemptOutcome.NotSent : AttemptOutcome.Broken;
  }

  private complete(): AttemptOutcome {
    const { caller, framer, keepsFailure } = this.context;
    if (this.mode === AnswerMode.Streamed) {
      if (framer?.isMidEvent) {
        framer.reset();
        return AttemptOutcome.Broken;
      }
      caller.end();
      return AttemptOutcome.Answered;
    }
    if (this.mode !== AnswerMode.Whole) return AttemptOutcome.Broken;
    const body = Buffer.concat(this.chunks);
    const headers: Record<string, string | string[]> = {
      ...this.parts.dialect.callerHeaders(this.headers),
    };
    const isHead = caller.request.method === 'HEAD';
    if (!isHead) headers['content-length'] = String(body.length);
    this.kept = { status: this.status, headers, body };
    if (caller.hasBegun) return AttemptOutcome.Failed;
    if (this.status >= SERVER_ERROR && keepsFailure) return AttemptOutcome.Failed;
    TargetAttempt.pass(caller, this.kept);
    return AttemptOutcome.Answered;
  }

  /** Passes a whole answer on. */
  static pass(caller: CallerExchange, { status, headers, body }: KeptAnswer): void {
    caller.begin(status, headers);
    caller.end(body);
  }
}

export default TargetAttempt;
