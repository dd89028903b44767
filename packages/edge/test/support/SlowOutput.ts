import type LogOutput from '../../src/LogOutput';

const WRITE_MS = 5;

/** Takes all bytes, a little later. */
class SlowOutput implements LogOutput {
  text = '';

  isWriting = false;

  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void {
    this.isWriting = true;
    setTimeout(() => {
      this.isWriting = false;
      this.text += bytes.toString();
      done(null, bytes.length);
    }, WRITE_MS);
  }
}

export default SlowOutput;
