import type { CallerLimits } from '@wisteriapath/fleet';
import type EdgeParts from './EdgeParts';
import HttpListener from './HttpListener';
import callerServerOptions from './callerServerOptions';
import handleRequest from './handleRequest';

/** Beyond the longest idle time after which callers use a connection again. */
const IDLE_MARGIN_MS = 2_000;

/** Serves the callers of an instance, and counts their requests that are under way. */
class CallerListener {
  private requestsUnderWay = 0;

  private listener: HttpListener | undefined;

  private limits: CallerLimits | undefined;

  constructor(private readonly parts: EdgeParts) {}

  get underWay(): number {
    return this.requestsUnderWay;
  }

  /** Listens at `host:port`. */
  async open(address: string): Promise<HttpListener> {
    const { parts } = this;
    const { log } = parts;
    const listener = await HttpListener.open(
      address,
      callerServerOptions,
      log,
      (request, response) => {
        this.requestsUnderWay += 1;
        response.on('close', () => {
          this.requestsUnderWay -= 1;
        });
        handleRequest(parts, request, response).catch((error: Error) => {
          log.event('request_crashed', { error: error.stack ?? error.message });
          response.destroy();
        });
      },
    );
    this.listener = listener;
    this.applyLimits();
    return listener;
  }

  /** Puts what callers may do in force. */
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
