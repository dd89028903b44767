import AnswerMode from './AnswerMode';

const KB = 1_024;
const MB = 1_024 * KB;

/** Most bytes of an answer, or of one event of a stream. */
const MOST_BYTES: Readonly<Record<AnswerMode, number>> = {
  [AnswerMode.None]: 0,
  [AnswerMode.NotRun]: 64 * KB,
  [AnswerMode.Streamed]: MB,
  [AnswerMode.Whole]: 8 * MB,
  [AnswerMode.Invalid]: 0,
};

const EVENT_ENDS = ['\n\n', '\r\n\r\n'];

/** Tells when what a target sends is too long to be an answer, as bytes may come without end. */
class AnswerSize {
  private bytes = 0;

  /** Counts bytes that came; false if they can no longer belong to an answer. */
  add(mode: AnswerMode, chunk: Buffer): boolean {
    const end =
      mode === AnswerMode.Streamed
        ? Math.max(...EVENT_ENDS.map((text) => chunk.lastIndexOf(text)))
        : -1;
    this.bytes = end < 0 ? this.bytes + chunk.length : chunk.length - end;
    return this.bytes <= MOST_BYTES[mode];
  }
}

export default AnswerSize;
