import type { Peers } from '@wisteriapath/fleet';
import type CallerListener from './CallerListener';
import type EdgeDependencies from './EdgeDependencies';
import type EdgeOptions from './EdgeOptions';
import type HttpListener from './HttpListener';
import type StoreView from './StoreView';
import openWhenFree from './openWhenFree';
import serveMetrics from './serveMetrics';
import serveReadiness from './serveReadiness';
import serveRecords from './serveRecords';

interface Parts {
  readonly deps: EdgeDependencies;
  readonly view: StoreView;
  readonly callers: CallerListener;
  readonly peers: Peers;
  readonly isReady: () => boolean;
}

const portOf = (address: string): number => Number(address.split(':').at(-1));

/** The listeners of an instance. Each is opened once its port is free, which another process may still hold. */
class EdgeListeners {
  /** The HTTP listeners that are open. */
  readonly all: HttpListener[] = [];

  private isServing = false;

  constructor(
    private readonly options: EdgeOptions,
    private readonly parts: Parts,
  ) {}

  /** Whether all ports are open that serving needs. */
  get areOpen(): boolean {
    return this.isServing;
  }

  /** Resolves once all ports are open that serving needs, or the instance stops. Nothing waits for that of the metrics. */
  async open(): Promise<void> {
    const { options, parts } = this;
    const { deps, view, callers, peers, isReady } = parts;
    const { log, isStopping } = deps;
    const peerAddress = `${options.member.host}:${options.peerPort}`;
    void this.openMetrics();
    await Promise.all([
      this.listen(options.readinessAddress, (at) => serveReadiness(at, log, isReady)),
      this.listen(peerAddress, (at) => serveRecords(at, view, log)),
      this.openWhenFree(peerAddress, () => peers.start()),
      this.listen(options.callersAddress, (at) => callers.open(at)),
    ]);
    this.isServing = !isStopping();
  }

  /** Closes all listeners and their connections. */
  destroy(): void {
    this.all.forEach((listener) => listener.destroy());
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
    await this.listen(address, (at) => serveMetrics(at, metrics.registry, log));
  }

  private async listen(
    address: string,
    open: (address: string) => Promise<HttpListener>,
  ): Promise<void> {
    const listener = await this.openWhenFree(address, () => open(address));
    if (listener !== undefined) this.all.push(listener);
  }

  private openWhenFree<T>(address: string, open: () => Promise<T>): Promise<T | undefined> {
    const { clock, log, isStopping } = this.parts.deps;
    return openWhenFree(address, { clock, log, isOver: isStopping }, open);
  }
}

export default EdgeListeners;
