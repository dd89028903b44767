import { type Clock, type InstanceAddress, rendezvousOrder } from '@wisteriapath/model';
import type InstanceListPort from './InstanceListPort';
import type PeerClients from './PeerClients';
import type PeerIdentity from './PeerIdentity';
import PeerLink from './PeerLink';
import type StreamSet from './StreamSet';

const LIST_INTERVAL_MS = 1_000;
/** The list is read more often while no peer is known. */
const ALONE_INTERVAL_MS = 200;
const LINKS_IN_OWN_DOMAIN = 6;
const LINKS_PER_OTHER_DOMAIN = 2;

interface Options {
  readonly heartbeatMs: number;
}

/** The peers of this instance: keeps links to a few in each failure domain. */
class PeerMesh {
  private listed: readonly InstanceAddress[] = [];

  private readonly links = new Map<string, PeerLink>();

  private readonly stopping = new AbortController();

  constructor(
    private readonly self: PeerIdentity,
    private readonly list: InstanceListPort,
    private readonly clients: PeerClients,
    private readonly streams: StreamSet,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {}

  /** Every instance that the list shows, this one included. */
  get instances(): readonly InstanceAddress[] {
    return this.listed;
  }

  get linked(): readonly PeerLink[] {
    return [...this.links.values()];
  }

  start(): void {
    void this.followList();
  }

  stop(): void {
    this.stopping.abort();
    this.links.forEach((link) => link.stop());
    this.links.clear();
  }

  private async followList(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const read = await this.list.list();
      if (!signal.aborted) read.ifJust((instances) => this.adopt(instances));
      const isAlone = this.links.size === 0;
      await this.clock.sleep(isAlone ? ALONE_INTERVAL_MS : LIST_INTERVAL_MS, signal);
    }
  }

  private adopt(instances: readonly InstanceAddress[]): void {
    this.listed = instances;
    const wanted = new Map(
      this.choose(instances).map((instance) => [instance.peerAddress, instance]),
    );
    this.links.forEach((link, address) => {
      if (wanted.has(address)) return;
      link.stop();
      this.links.delete(address);
    });
    wanted.forEach((instance, address) => {
      if (this.links.has(address)) return;
      const link = this.createLink(instance);
      this.links.set(address, link);
      link.start();
    });
  }

  private createLink(instance: InstanceAddress): PeerLink {
    const { self, clients, streams, clock, options } = this;
    return new PeerLink(instance, self, clients, streams, clock, options.heartbeatMs);
  }

  private choose(instances: readonly InstanceAddress[]): InstanceAddress[] {
    const others = instances.filter((instance) => instance.name !== this.self.name);
    const domains = new Set(others.map((instance) => instance.failureDomain));
    return [...domains].flatMap((domain) => {
      const members = others.filter((instance) => instance.failureDomain === domain);
      const limit =
        domain === this.self.failureDomain ? LINKS_IN_OWN_DOMAIN : LINKS_PER_OTHER_DOMAIN;
      const byName = new Map(members.map((instance) => [instance.name, instance]));
      const order = rendezvousOrder(this.self.name, [...byName.keys()]);
      return order.slice(0, limit).map((name) => byName.get(name)!);
    });
  }
}

export default PeerMesh;
