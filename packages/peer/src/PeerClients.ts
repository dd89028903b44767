import { credentials } from '@grpc/grpc-js';
import { PeerClient } from './generated/peer';

/** Time without bytes after which a connection is tried, while calls are open. */
const KEEP_ALIVE_INTERVAL_MS = 1_000;
/** Time without an answer to that after which a connection counts as silent and is replaced. */
const KEEP_ALIVE_TIMEOUT_MS = 2_000;

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.keepalive_time_ms': KEEP_ALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEP_ALIVE_TIMEOUT_MS,
  'grpc.max_receive_message_length': 64 * 1_024 * 1_024,
};

/** The gRPC clients of peers, one for each `host:port` address, created on first use. */
class PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  get(address: string): PeerClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = new PeerClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    this.clients.set(address, client);
    return client;
  }

  /** Closes the client of an address; the next `get` creates a new one. */
  drop(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  close(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }
}

export default PeerClients;
