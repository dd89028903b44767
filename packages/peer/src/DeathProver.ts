import { createConnection } from 'node:net';
import type { Clock } from '@wisteriapath/model';
import type PeerIdentity from './PeerIdentity';
import callPeer from './callPeer';
import type PeerClients from './PeerClients';
import type { HelloReply } from './generated/peer';

const CONNECT_TIMEOUT_MS = 500;
const HELLO_TIMEOUT_MS = 500;

interface Options {
  /** Refused connections in a row that prove a process dead. */
  readonly probes: number;
  readonly intervalMs: number;
}

/** A process that may be dead. */
interface Suspect {
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: string;
}

enum Connection {
  Accepted,
  Refused,
  NoAnswer,
}

const connectOnce = (address: string): Promise<Connection> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = createConnection({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
    const finish = (result: Connection) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(Connection.Accepted));
    socket.once('timeout', () => finish(Connection.NoAnswer));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? Connection.Refused : Connection.NoAnswer),
    );
  });

/**
 * Establishes whether another process is dead. Proof is a newer incarnation at its address or, from
 * within its failure domain only, several refused connections in a row. Silence proves nothing.
 */
class DeathProver {
  private readonly dead = new Set<string>();

  constructor(
    private readonly self: PeerIdentity,
    private readonly clients: PeerClients,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {}

  /** True if the process itself answers. */
  async isAlive(suspect: Suspect): Promise<boolean> {
    return (await this.incarnationAt(suspect.address)) === suspect.incarnation;
  }

  /** True once the process is proved dead; false if it is alive or nothing is known. */
  async isDead(suspect: Suspect): Promise<boolean> {
    if (this.dead.has(suspect.incarnation)) return true;
    const proved = (await this.isReplaced(suspect)) || (await this.isRefused(suspect));
    if (proved) this.dead.add(suspect.incarnation);
    return proved;
  }

  private async isReplaced(suspect: Suspect): Promise<boolean> {
    const found = await this.incarnationAt(suspect.address);
    return found !== undefined && found !== suspect.incarnation;
  }

  private async incarnationAt(address: string): Promise<string | undefined> {
    const client = this.clients.get(address);
    const request = { ...this.self, positions: [] };
    const reply = await callPeer(client.hello.bind(client), request, HELLO_TIMEOUT_MS);
    return reply
      .map((hello: HelloReply) => hello.incarnation)
      .toMaybe()
      .extract();
  }

  private async isRefused(suspect: Suspect): Promise<boolean> {
    if (suspect.failureDomain !== this.self.failureDomain) return false;
    for (let probe = 0; probe < this.options.probes; probe += 1) {
      if ((await connectOnce(suspect.address)) !== Connection.Refused) return false;
      await this.clock.sleep(this.options.intervalMs / this.options.probes);
    }
    return true;
  }
}

export default DeathProver;
