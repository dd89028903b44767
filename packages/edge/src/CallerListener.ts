import type { ServerResponse } from 'node:http';
import type { CallerLimits } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';
import HttpListener from './HttpListener';
import breakOff from './breakOff';
import callerServerOptions from './callerServerOptions';
import handleRequest from './handleRequest';

/** Margin beyond the longest idle time after which callers reuse a connection. */
const IDLE_MARGIN_MS = 2_000;

/** The listener for callers, which also counts the requests in progress. */
class CallerListener {
  private readonly active = new Set<ServerResponse>();

  private listener: HttpListener | undefined;

  private limits: CallerLimits | undefined;

  constructor(private readonly deps: EdgeDependencies) {}

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
        this.active.add(response);
        response.on('close', () => {
          this.active.delete(response);
        });
        handleRequest(deps, request, response).catch((error: Error) => {
          log.event('request_crashed', { error: error.stack ?? error.message });
          breakOff(response);
        });
      },
    );
    this.listener = listener;
    this.applyLimits();
    return listener;
  }

  /** Breaks off the responses that their callers have not taken by the end of a stop. */
  breakOffActive(): void {
    this.active.forEach(breakOff);
  }

  /** Applies the limits of a desired state, now or once the listener is open. */
  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  private applyLimits(): void {
    const { limits, listener } = this;
    if (limits === undefined || listener === undefined) return;
    listener.server.headersTimeout = limits.headerTimeoutMs;
    listener.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }
}

export default CallerListener;
