import { createConnection } from 'node:net';
import type { Clock } from '@wisteriapath/model';
import type PeerIdentity from './PeerIdentity';
import callPeer from './callPeer';
import type PeerClients from './PeerClients';
import type { HelloReply } from './generated/peer';

const CONNECT_TIMEOUT_MS = 500;
const HELLO_TIMEOUT_MS = 500;

interface Options {
  /** Number of consecutive refused connections that prove a process dead. */
  readonly probeCount: number;
  /** Time over which the connection attempts are spread, in milliseconds. */
  readonly probeWindowMs: number;
}

/** A process that is suspected to be dead. */
interface Suspect {
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: string;
}

enum ConnectResult {
  Accepted,
  Refused,
  Inconclusive,
}

const tryConnect = (address: string): Promise<ConnectResult> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = createConnection({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
    const finish = (result: ConnectResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(ConnectResult.Accepted));
    socket.once('timeout', () => finish(ConnectResult.Inconclusive));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? ConnectResult.Refused : ConnectResult.Inconclusive),
    );
  });

/**
 * Establishes whether another process is dead. Proof is another incarnation at its address or, from
 * within its failure domain only, several consecutive refused connections. Silence proves nothing.
 */
class DeathProver {
  private readonly deadIncarnations = new Set<string>();

  constructor(
    private readonly self: PeerIdentity,
    private readonly clients: PeerClients,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {}

  /** Whether the process itself answers a heartbeat, not another incarnation at its address. */
  async isAlive(suspect: Suspect): Promise<boolean> {
    return (await this.incarnationAt(suspect.address)) === suspect.incarnation;
  }

  /**
   * Whether the process is proved dead; false if it is alive or nothing is known. A proof is remembered,
   * as an incarnation never comes back.
   */
  async isProvedDead(suspect: Suspect): Promise<boolean> {
    if (this.deadIncarnations.has(suspect.incarnation)) return true;
    const isProved =
      (await this.isReplaced(suspect)) || (await this.isRefusingConnections(suspect));
    if (isProved) this.deadIncarnations.add(suspect.incarnation);
    return isProved;
  }

  private async isReplaced(suspect: Suspect): Promise<boolean> {
    const found = await this.incarnationAt(suspect.address);
    return found !== undefined && found !== suspect.incarnation;
  }

  /** Returns the incarnation that answers at an address, undefined if none does in time. */
  private async incarnationAt(address: string): Promise<string | undefined> {
    const client = this.clients.get(address);
    const request = { ...this.self, positions: [] };
    const reply = await callPeer(client.hello.bind(client), request, HELLO_TIMEOUT_MS);
    return reply
      .map((hello: HelloReply) => hello.incarnation)
      .toMaybe()
      .extract();
  }

  private async isRefusingConnections(suspect: Suspect): Promise<boolean> {
    if (suspect.failureDomain !== this.self.failureDomain) return false;
    for (let probe = 0; probe < this.options.probeCount; probe += 1) {
      if ((await tryConnect(suspect.address)) !== ConnectResult.Refused) return false;
      await this.clock.sleep(this.options.probeWindowMs / this.options.probeCount);
    }
    return true;
  }
}

export default DeathProver;
