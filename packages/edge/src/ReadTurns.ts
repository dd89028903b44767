import type { Socket } from 'node:net';

/**
 * Turns in which connections are read that hold up the event loop: one connection in each turn of the loop, in the order in which they
 * came to wait. It answers the load of bodies in very small chunks, each of which costs as much as an ordinary one.
 */
class ReadTurns {
  private readonly waiting = new Set<Socket>();

  private isScheduled = false;

  /** Stops reading from a connection until its turn. What has been read already is still passed on. */
  wait(socket: Socket): void {
    this.waiting.add(socket);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.begin());
  }

  /** Lets the next turn of the event loop read from the connection that has waited longest, and from no other that waits. */
  private begin(): void {
    this.isScheduled = false;
    // Not as they come to wait: Node.js resumes a connection in a later tick of the same turn.
    this.waiting.forEach((socket) => socket.pause());
    const [first] = this.waiting;
    this.waiting.delete(first);
    first.resume();
    this.schedule();
  }
}

export default ReadTurns;
