import { credentials } from '@grpc/grpc-js';
import { messages, PeerClients } from '@wisteriapath/peer';

/** Nothing listens on this address, so a call fails as in a network partition. */
const UNREACHABLE_ADDRESS = '127.0.0.1:9';

/** Peer clients whose calls fail for addresses that are disconnected. */
class DisconnectablePeers extends PeerClients {
  private readonly unreachableClient = new messages.PeerClient(
    UNREACHABLE_ADDRESS,
    credentials.createInsecure(),
  );

  constructor(private readonly isDisconnected: (address: string) => boolean) {
    super();
  }

  override get(address: string): messages.PeerClient {
    return this.isDisconnected(address) ? this.unreachableClient : super.get(address);
  }

  override close(): void {
    this.unreachableClient.close();
    super.close();
  }
}

export default DisconnectablePeers;
