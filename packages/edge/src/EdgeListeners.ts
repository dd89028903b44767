import type { Peers } from '@wisteriapath/fleet';
import type CallerListener from './CallerListener';
import type EdgeDependencies from './EdgeDependencies';
import type EdgeOptions from './EdgeOptions';
import type HttpListener from './HttpListener';
import type OpenFailure from './OpenFailure';
import type StoreView from './StoreView';
import PortStates from './PortStates';
import callOwnPort from './callOwnPort';
import openWhenFree from './openWhenFree';
import portOf from './portOf';
import reachableAddress from './reachableAddress';
import serveMetrics from './serveMetrics';
import serveReadiness from './serveReadiness';
import serveRecords from './serveRecords';

interface Parts {
  readonly deps: EdgeDependencies;
  readonly view: StoreView;
  readonly callers: CallerListener;
  readonly peers: Peers;
}

/** Time beyond the grace period of an earlier process for which a port that is taken, or an address, is waited for. */
const PORT_MARGIN_MS = 10_000;
/** Marks the address of a port for datagrams in log lines. */
const DATAGRAMS = '/udp';

/** Stands among the ports that are not open for the call of the own readiness port. */
const SELF_CHECK = 'self_check';

/** The listeners of an instance. Each is opened once its port is free, which another process may still hold. */
class EdgeListeners {
  /** The HTTP listeners that are open. */
  readonly all: HttpListener[] = [];

  private isServing = false;

  private hasFailed = false;

  private hasSaidReady = false;

  private readonly needed = new PortStates();

  constructor(
    private readonly options: EdgeOptions,
    private readonly parts: Parts,
  ) {}

  /** Whether the instance serves: all ports that serving needs are open, the store has been read, and no stop has begun. */
  get isReady(): boolean {
    const { deps, view } = this.parts;
    return this.isServing && view.isLoaded && !deps.isStopping();
  }

  /** Whether callers may come: the balancer may have been told that the instance is ready, or callers have connected without that. */
  get mayBeReached(): boolean {
    return this.hasSaidReady || this.parts.callers.haveConnected;
  }

  /** The ports that serving needs and that are not open, each with its last error; then the self-check. */
  get unopened(): readonly string[] {
    return this.needed.describe();
  }

  /**
   * Resolves once all ports are open that serving needs and this process has got an answer from one of them, or the instance
   * stops. Rejects, and opens no more, if one cannot be opened or does not answer. Nothing waits for that of the metrics.
   */
  async open(): Promise<void> {
    try {
      await this.openAll();
    } catch (error) {
      this.hasFailed = true;
      throw error;
    }
  }

  /** Closes all listeners and their connections. */
  destroy(): void {
    this.all.forEach((listener) => listener.destroy());
  }

  private async openAll(): Promise<void> {
    const { options, parts } = this;
    const { deps, view, callers, peers } = parts;
    const { log, isStopping } = deps;
    const peerAddress = `${options.member.host}:${options.peerPort}`;
    this.needed.expect(SELF_CHECK);
    void this.openMetrics();
    await Promise.all([
      this.listen(options.readinessAddress, (at) => serveReadiness(at, log, () => this.sayReady())),
      this.listen(peerAddress, (at) => serveRecords(at, view, log)),
      this.openNeeded(`${peerAddress}${DATAGRAMS}`, () => peers.start()),
      this.listen(options.callersAddress, (at) => callers.open(at)),
    ]);
    await this.checkSelf();
    this.isServing = !isStopping();
  }

  private sayReady(): boolean {
    this.hasSaidReady ||= this.isReady;
    return this.isReady;
  }

  /** Opens the port of the metrics, unless serving needs it. */
  private async openMetrics(): Promise<void> {
    const { host } = this.options.member;
    const { callersAddress, readinessAddress, peerPort, metricsPort } = this.options;
    const { log, metrics } = this.parts.deps;
    const portsOfServing = [callersAddress, readinessAddress, `${host}:${peerPort}`].map(portOf);
    if (portsOfServing.includes(metricsPort)) {
      log.event('metrics_not_served', { port: metricsPort });
      return;
    }
    const address = `${host}:${metricsPort}`;
    const open = () => serveMetrics(address, metrics.registry, log);
    this.add(await this.openWhenFree(address, open, null));
  }

  /** Calls the readiness port as targets are called: without HTTP client, or not reached at its address, nothing can be served. */
  private async checkSelf(): Promise<void> {
    const { readinessAddress, member } = this.options;
    const address = reachableAddress(readinessAddress, member.host);
    await callOwnPort(address, this.parts.deps.isStopping);
    this.needed.open(SELF_CHECK);
  }

  private async listen(
    address: string,
    open: (address: string) => Promise<HttpListener>,
  ): Promise<void> {
    this.add(await this.openNeeded(address, () => open(address)));
  }

  /** Opens a port that serving needs. */
  private async openNeeded<T>(address: string, open: () => Promise<T>): Promise<T | undefined> {
    this.needed.expect(address);
    const limitMs = this.options.shutdownGraceMs + PORT_MARGIN_MS;
    const opened = await this.openWhenFree(address, open, limitMs);
    this.needed.open(address);
    return opened;
  }

  private add(listener: HttpListener | undefined): void {
    if (listener !== undefined) this.all.push(listener);
  }

  private openWhenFree<T>(
    address: string,
    open: () => Promise<T>,
    limitMs: number | null,
  ): Promise<T | undefined> {
    const { clock, log, isStopping } = this.parts.deps;
    const isOver = () => this.hasFailed || isStopping();
    const onFailure = (failure: OpenFailure) => this.needed.fail(address, failure);
    return openWhenFree(address, { clock, log, limitMs, isOver, onFailure }, open);
  }
}

export default EdgeListeners;
