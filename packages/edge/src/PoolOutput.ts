import { write } from 'node:fs';
import type LogOutput from './LogOutput';

/**
 * Output to a descriptor whose writes may block, such as a file. They are made in the thread pool. As Node.js waits for the
 * pool when it exits, a process that exits while a write blocks ends by SIGKILL.
 */
class PoolOutput implements LogOutput {
  readonly holdsExit = true;

  private isWriting = false;

  constructor(private readonly descriptor: number) {
    process.on('exit', () => {
      if (this.isWriting) process.kill(process.pid, 'SIGKILL');
    });
  }

  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void {
    this.isWriting = true;
    write(this.descriptor, bytes, (error, writtenBytes) => {
      this.isWriting = false;
      done(error, writtenBytes);
    });
  }
}

export default PoolOutput;
