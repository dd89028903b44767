import type { IncomingMessage, ServerResponse } from 'node:http';
import { ReceivedBody } from '@wisteriapath/body-memory';
import type { CallerLimits } from '@wisteriapath/fleet';
import {
  callerConnectionLimits,
  ClosedConnectionSummary,
  EndReason,
  readProcessLimits,
} from '@wisteriapath/response-ends';
import CallerExchange from './CallerExchange';
import type EdgeDependencies from './EdgeDependencies';
import HttpListener from './HttpListener';
import UnansweredLog from './UnansweredLog';
import callerServerOptions from './callerServerOptions';
import handleRequest from './handleRequest';
import nameSome from './nameSome';

/** Margin beyond the longest idle time after which callers reuse a connection. */
const IDLE_MARGIN_MS = 2_000;

/** The listener for callers, which also counts the requests in progress. */
class CallerListener {
  private readonly active = new Map<IncomingMessage, CallerExchange>();

  private listener: HttpListener | undefined;

  private limits: CallerLimits | undefined;

  /** The requests that were broken off at the end of a stop; undefined before. */
  private left: readonly string[] | undefined;

  private readonly closed: ClosedConnectionSummary;

  private readonly unanswered: UnansweredLog;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly memoryLimitBytes: number,
  ) {
    this.closed = new ClosedConnectionSummary(({ reason, connections, limit }, count) => {
      deps.log.event('caller_connections_closed', { reason, count, connections, limit });
    });
    this.unanswered = new UnansweredLog(deps);
  }

  /** Number of requests in progress. */
  get activeRequests(): number {
    return this.active.size;
  }

  /** Whether a connection has been accepted. */
  get haveConnected(): boolean {
    return this.listener?.server.hasAccepted ?? false;
  }

  /** Log fields on the requests in progress, or those that were broken off at the end of a stop: the ids, and how far each has come. */
  get leftFields(): { readonly under_way: number; readonly requests: string } {
    const left = this.left ?? this.activeIds;
    return { under_way: left.length, requests: nameSome(left) };
  }

  /** Listens at `host:port`. */
  async open(address: string): Promise<HttpListener> {
    const { deps } = this;
    const { log } = deps;
    const listener = await HttpListener.open(
      address,
      callerServerOptions,
      log,
      (request, response) => {
        const caller = new CallerExchange(
          request,
          response,
          deps.dialect,
          {
            shouldClose: () => deps.isStopping() && this.isLastRequest(request, response),
            onEnd: (reason, detail) => this.noteEnd(request, reason, detail),
          },
          new ReceivedBody(deps.memory.reserve()),
        );
        this.active.set(request, caller);
        response.on('close', () => {
          this.active.delete(request);
        });
        return this.serve(request, caller);
      },
      (request) => this.idOf(request),
    );
    listener.server.watchUnanswered((unanswered) => {
      const { request } = unanswered;
      const step = this.active.get(request)?.step ?? '';
      this.unanswered.record(unanswered, { id: this.idOf(request), step });
    });
    listener.server.limitUse(
      callerConnectionLimits(readProcessLimits(this.memoryLimitBytes)),
      (closed) => {
        deps.metrics.closedConnections.inc({ reason: closed.reason });
        this.closed.record(closed);
      },
    );
    this.listener = listener;
    this.applyLimits();
    return listener;
  }

  /** Breaks off the responses that their callers have not taken by the end of a stop. */
  abortActive(): void {
    this.left = this.activeIds;
    this.active.forEach((caller) => caller.abort(EndReason.StopEnded));
  }

  /** Applies the limits of a desired state, now or once the listener is open. */
  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  /** Serves a request; one whose handling fails may have run, so that its answer promises nothing. */
  private async serve(request: IncomingMessage, caller: CallerExchange): Promise<void> {
    try {
      await handleRequest(this.deps, caller);
    } catch (error) {
      const { stack, message } = error as Error;
      const id = this.idOf(request);
      this.deps.log.event('request_crashed', { request: id, error: stack ?? message });
      caller.fail(message, id);
    }
  }

  private get activeIds(): readonly string[] {
    return [...this.active].map(([request, { step }]) => `${this.idOf(request)}:${step}`);
  }

  /** Takes note of why the connection of a request is about to be ended. */
  private noteEnd(request: IncomingMessage, reason: EndReason, detail: string): void {
    this.listener?.server.noteEnd(request, reason, detail);
    if (reason === EndReason.BodyUnfinished) this.recordUnfinished(request);
  }

  /** Takes note of a caller whose connection is closed, as it did not end its body after the refusal. */
  private recordUnfinished(request: IncomingMessage): void {
    const { log, metrics } = this.deps;
    metrics.closedConnections.inc({ reason: 'refused_body_unfinished' });
    log.event('refused_body_unfinished', { request: this.idOf(request) });
  }

  private idOf({ headers }: IncomingMessage): string {
    return this.deps.dialect.parseRequest(headers).attemptId;
  }

  /** Whether a response may close its connection: the requests behind it would not be answered. */
  private isLastRequest(request: IncomingMessage, response: ServerResponse): boolean {
    return this.listener?.server.isLastRequest(request, response) ?? true;
  }

  private applyLimits(): void {
    const { limits, listener } = this;
    if (limits === undefined || listener === undefined) return;
    listener.server.limitHeads(Math.max(1, limits.maxHeaderBytes));
    listener.server.headersTimeout = limits.headerTimeoutMs;
    listener.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }
}

export default CallerListener;
