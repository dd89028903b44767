import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerLimits } from '@wisteriapath/fleet';
import CallerExchange from './CallerExchange';
import type EdgeDependencies from './EdgeDependencies';
import HttpListener from './HttpListener';
import ClosedCallers from './ClosedCallers';
import callerConnectionLimits from './callerConnectionLimits';
import callerServerOptions from './callerServerOptions';
import handleRequest from './handleRequest';
import readDescriptorLimit from './readDescriptorLimit';

/** Margin beyond the longest idle time after which callers reuse a connection. */
const IDLE_MARGIN_MS = 2_000;

/** The listener for callers, which also counts the requests in progress. */
class CallerListener {
  private readonly active = new Set<CallerExchange>();

  private listener: HttpListener | undefined;

  private limits: CallerLimits | undefined;

  private readonly closed: ClosedCallers;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly memoryLimitBytes: number,
  ) {
    this.closed = new ClosedCallers(deps.log, deps.metrics);
  }

  /** Number of requests in progress. */
  get activeRequests(): number {
    return this.active.size;
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
          () => deps.isStopping() && this.isLastRequest(request, response),
          deps.memory.reserve(),
          () => this.recordUnfinished(request),
        );
        this.active.add(caller);
        response.on('close', () => {
          this.active.delete(caller);
        });
        handleRequest(deps, caller).catch((error: Error) => {
          log.event('request_crashed', { error: error.stack ?? error.message });
          caller.abort();
        });
      },
    );
    listener.server.limitUse(
      callerConnectionLimits(this.memoryLimitBytes, readDescriptorLimit()),
      (closed) => this.closed.record(closed),
    );
    this.listener = listener;
    this.applyLimits();
    return listener;
  }

  /** Breaks off the responses that their callers have not taken by the end of a stop. */
  abortActive(): void {
    this.active.forEach((caller) => caller.abort());
  }

  /** Applies the limits of a desired state, now or once the listener is open. */
  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  /** Takes note of a caller whose connection is closed, as it did not end its body after the refusal. */
  private recordUnfinished({ headers }: IncomingMessage): void {
    const { dialect, log, metrics } = this.deps;
    metrics.closedConnections.inc({ reason: 'refused_body_unfinished' });
    log.event('refused_body_unfinished', { request: dialect.parseRequest(headers).attemptId });
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
