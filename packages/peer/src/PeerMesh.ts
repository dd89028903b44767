import { type Clock, type InstanceAddress, rendezvousOrder } from '@wisteriapath/model';
import type InstanceListPort from './InstanceListPort';
import type PeerClients from './PeerClients';
import type PeerIdentity from './PeerIdentity';
import PeerLink from './PeerLink';
import type RelayedStreams from './RelayedStreams';

/** Interval at which the instance list is read. */
const LIST_INTERVAL_MS = 1_000;
/** Interval at which the instance list is read while there is no link to a peer. */
const NO_PEER_LIST_INTERVAL_MS = 200;
const MAX_LINKS_IN_OWN_DOMAIN = 6;
const MAX_LINKS_PER_OTHER_DOMAIN = 2;

interface Options {
  readonly heartbeatIntervalMs: number;
}

/** The links of this instance to its peers: to a few in each failure domain, chosen from the list. */
class PeerMesh {
  private listedInstances: readonly InstanceAddress[] = [];

  private readonly links = new Map<string, PeerLink>();

  private readonly stopping = new AbortController();

  constructor(
    private readonly self: PeerIdentity,
    private readonly list: InstanceListPort,
    private readonly clients: PeerClients,
    private readonly relayedStreams: RelayedStreams,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {}

  /** Every instance in the list as it was last read, this one included. */
  get instances(): readonly InstanceAddress[] {
    return this.listedInstances;
  }

  /** The current links. */
  get linked(): readonly PeerLink[] {
    return [...this.links.values()];
  }

  start(): void {
    void this.pollInstanceList();
  }

  stop(): void {
    this.stopping.abort();
    this.links.forEach((link) => link.stop());
    this.links.clear();
  }

  private async pollInstanceList(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const read = await this.list.list();
      if (!signal.aborted) read.ifJust((instances) => this.updateLinks(instances));
      const hasNoLinks = this.links.size === 0;
      await this.clock.sleep(hasNoLinks ? NO_PEER_LIST_INTERVAL_MS : LIST_INTERVAL_MS, signal);
    }
  }

  /** Drops the links to peers that are no longer chosen and opens links to newly chosen ones. */
  private updateLinks(instances: readonly InstanceAddress[]): void {
    this.listedInstances = instances;
    const wanted = new Map(
      this.choosePeers(instances).map((instance) => [instance.peerAddress, instance]),
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
    const { self, clients, relayedStreams, clock, options } = this;
    return new PeerLink(
      instance,
      self,
      clients,
      relayedStreams,
      clock,
      options.heartbeatIntervalMs,
    );
  }

  /**
   * Chooses the peers to link to, by rendezvous hashing of this instance's name: the choice is stable
   * when other peers come and go, and differs between instances.
   */
  private choosePeers(instances: readonly InstanceAddress[]): InstanceAddress[] {
    const others = instances.filter((instance) => instance.name !== this.self.name);
    const domains = new Set(others.map((instance) => instance.failureDomain));
    return [...domains].flatMap((domain) => {
      const members = others.filter((instance) => instance.failureDomain === domain);
      const maxLinks =
        domain === this.self.failureDomain ? MAX_LINKS_IN_OWN_DOMAIN : MAX_LINKS_PER_OTHER_DOMAIN;
      const byName = new Map(members.map((instance) => [instance.name, instance]));
      const order = rendezvousOrder(this.self.name, [...byName.keys()]);
      return order.slice(0, maxLinks).map((name) => byName.get(name)!);
    });
  }
}

export default PeerMesh;
