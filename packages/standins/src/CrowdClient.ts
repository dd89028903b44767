import { connect, type Socket } from 'node:net';
import type CrowdGroup from './CrowdGroup';

interface Address {
  readonly host: string;
  readonly port: number;
}

const NUMBER = '{n}';

let openedCount = 0;

/**
 * A client that does not behave: it writes what its group says, leaves or stays until it is closed, and comes again.
 *
 * @example
 * new CrowdClient({ host: '127.0.0.1', port: 8080 }, { clients: 1, head: 'GET / HT', stayMs: 20 }).open();
 */
class CrowdClient {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly address: Address,
    private readonly group: CrowdGroup,
  ) {}

  /** Opens a connection, and another one whenever the last has closed. */
  open(): void {
    const { head, times = 0, againMs = 0 } = this.group;
    openedCount += 1;
    const socket = connect(this.address);
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(this.timer);
      setTimeout(() => this.open(), againMs);
    });
    // Answers are read and dropped.
    socket.resume();
    socket.write(head.replaceAll(NUMBER, `${process.pid}-${openedCount}`));
    this.writeBlocks(socket, times);
  }

  private writeBlocks(socket: Socket, times: number): void {
    const { block = '', intervalMs = 0 } = this.group;
    for (let left = times; left > 0 && socket.writable; left -= 1) {
      const isTaken = socket.write(block);
      const writeRest = () => this.writeBlocks(socket, left - 1);
      if (intervalMs > 0) {
        this.timer = setTimeout(writeRest, intervalMs);
        return;
      }
      if (!isTaken) {
        socket.once('drain', writeRest);
        return;
      }
    }
    if (socket.writable) this.finish(socket);
  }

  private finish(socket: Socket): void {
    const { tail = '', stayMs, isReset = false } = this.group;
    if (tail !== '') socket.write(tail);
    if (stayMs === undefined) return;
    const leave = () => (isReset ? socket.resetAndDestroy() : socket.destroy());
    this.timer = setTimeout(leave, stayMs);
  }
}

export default CrowdClient;
