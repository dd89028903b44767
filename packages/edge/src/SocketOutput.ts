import { Socket } from 'node:net';
import type LogOutput from './LogOutput';

/** Output to a descriptor that is a socket, or a pipe that cannot be opened again. It is made non-blocking for all who share it. */
class SocketOutput implements LogOutput {
  private readonly socket: Socket;

  /** Throws if the descriptor is of another kind. */
  constructor(descriptor: number) {
    this.socket = new Socket({ fd: descriptor, readable: false, writable: true });
    // The callback of the write gets the error, too.
    this.socket.on('error', () => {});
  }

  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void {
    this.socket.write(bytes, (error) => {
      done(error ?? null, bytes.length);
    });
  }
}

export default SocketOutput;
