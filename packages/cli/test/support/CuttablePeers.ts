import { credentials } from '@grpc/grpc-js';
import { messages, PeerClients } from '@wisteriapath/peer';

/** Nothing listens here; a call fails as it does when a network is cut. */
const NOWHERE = '127.0.0.1:9';

/** Clients of peers of which some cannot be reached. */
class CuttablePeers extends PeerClients {
  private readonly nowhere = new messages.PeerClient(NOWHERE, credentials.createInsecure());

  constructor(private readonly isCut: (address: string) => boolean) {
    super();
  }

  override get(address: string): messages.PeerClient {
    return this.isCut(address) ? this.nowhere : super.get(address);
  }

  override close(): void {
    this.nowhere.close();
    super.close();
  }
}

export default CuttablePeers;
