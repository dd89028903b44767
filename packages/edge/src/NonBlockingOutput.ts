import { writeSync } from 'node:fs';
import type LogOutput from './LogOutput';

const NO_ROOM = 'EAGAIN';

/** Output to a descriptor that was opened as non-blocking, such as a pipe or a terminal. */
class NonBlockingOutput implements LogOutput {
  constructor(private readonly descriptor: number) {}

  /** Calls back before it returns. */
  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void {
    let writtenBytes = 0;
    let failure: Error | null = null;
    try {
      writtenBytes = writeSync(this.descriptor, bytes);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== NO_ROOM) failure = error as Error;
    }
    done(failure, writtenBytes);
  }
}

export default NonBlockingOutput;
