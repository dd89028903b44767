import type { Clock, InstanceAddress } from '@wisteriapath/model';
import type PeerIdentity from './PeerIdentity';
import type RelayedStreams from './RelayedStreams';
import callPeer from './callPeer';
import type PeerClients from './PeerClients';
import type { HelloReply } from './generated/peer';

const HELLO_TIMEOUT_MS = 1_000;

/** The link to one peer: a task that exchanges heartbeats with it. */
class PeerLink {
  private readonly stopping = new AbortController();

  private lastReply: HelloReply | undefined;

  private repliedAtMs = -Infinity;

  constructor(
    readonly address: InstanceAddress,
    private readonly self: PeerIdentity,
    private readonly clients: PeerClients,
    private readonly relayedStreams: RelayedStreams,
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /** The peer's last reply to a heartbeat, undefined if there was none. */
  get reply(): HelloReply | undefined {
    return this.lastReply;
  }

  /** Milliseconds since the start of the last heartbeat that the peer answered; `Infinity` if none. */
  silentMs(): number {
    return this.clock.nowMs() - this.repliedAtMs;
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
      await this.clock.sleep(this.heartbeatIntervalMs, signal);
    }
  }

  private async exchangeOnce(): Promise<void> {
    const startedMs = this.clock.nowMs();
    const request = { ...this.self, positions: this.relayedStreams.positions() };
    const client = this.clients.get(this.address.peerAddress);
    const reply = await callPeer(client.hello.bind(client), request, HELLO_TIMEOUT_MS);
    reply.ifRight((hello) => {
      this.lastReply = hello;
      this.repliedAtMs = startedMs;
      this.relayedStreams.applyUpdates(
        hello.newer,
        hello.positions,
        this.clock.nowMs() - startedMs,
      );
    });
  }
}

export default PeerLink;
