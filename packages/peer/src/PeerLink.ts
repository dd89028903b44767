import type { Clock, InstanceAddress } from '@wisteriapath/model';
import type PeerIdentity from './PeerIdentity';
import type StreamSet from './StreamSet';
import callPeer from './callPeer';
import type PeerClients from './PeerClients';
import type { HelloReply } from './generated/peer';

const HELLO_TIMEOUT_MS = 1_000;
/** The link to one peer: a task that exchanges heartbeats with it. */
class PeerLink {
  private readonly stopping = new AbortController();

  private lastReply: HelloReply | undefined;

  private heardAtMs = -Infinity;

  constructor(
    readonly address: InstanceAddress,
    private readonly self: PeerIdentity,
    private readonly clients: PeerClients,
    private readonly streams: StreamSet,
    private readonly clock: Clock,
    private readonly intervalMs: number,
  ) {}

  /** The peer's last answer, undefined if there was none. */
  get reply(): HelloReply | undefined {
    return this.lastReply;
  }

  /** Milliseconds since the peer last answered. */
  silentMs(): number {
    return this.clock.nowMs() - this.heardAtMs;
  }

  start(): void {
    void this.exchangeHeartbeats();
  }

  stop(): void {
    this.stopping.abort();
    this.clients.drop(this.address.peerAddress);
  }

  private async exchangeHeartbeats(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.exchangeOnce();
      await this.clock.sleep(this.intervalMs, signal);
    }
  }

  private async exchangeOnce(): Promise<void> {
    const startedMs = this.clock.nowMs();
    const request = { ...this.self, positions: this.streams.positions() };
    const client = this.clients.get(this.address.peerAddress);
    const reply = await callPeer(client.hello.bind(client), request, HELLO_TIMEOUT_MS);
    reply.ifRight((hello) => {
      this.lastReply = hello;
      this.heardAtMs = startedMs;
      this.streams.absorb(hello.newer, hello.positions, this.clock.nowMs() - startedMs);
    });
  }
}

export default PeerLink;
