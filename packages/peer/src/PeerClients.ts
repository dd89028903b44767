import { credentials } from '@grpc/grpc-js';
import { PeerClient } from './generated/peer';

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
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
