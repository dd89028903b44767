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
    const { log, metrics, isStopping } = deps;
    const { host } = options.member;
    const peerAddress = `${host}:${options.peerPort}`;
    const metricsAddress = `${host}:${options.metricsPort}`;
    void this.listen(metricsAddress, (at) => serveMetrics(at, metrics.registry, log));
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
