import ResponseMode from './ResponseMode';

const KB = 1_024;
const MB = 1_024 * KB;

/** Maximum size of a response body, or of a single event of a stream. */
const MAX_BYTES: Readonly<Record<ResponseMode, number>> = {
  [ResponseMode.None]: 0,
  [ResponseMode.NotExecuted]: 64 * KB,
  [ResponseMode.Streamed]: MB,
  [ResponseMode.Buffered]: 8 * MB,
  [ResponseMode.Invalid]: 0,
};

const EVENT_ENDS = ['\n\n', '\r\n\r\n'];

/** A size limit for the body of one response, which guards against targets that send bytes without end. */
class ResponseSizeLimit {
  private countedBytes = 0;

  /** Counts a chunk, and returns false once the response, or the event, exceeds its limit. */
  accept(mode: ResponseMode, chunk: Buffer): boolean {
    const end =
      mode === ResponseMode.Streamed
        ? Math.max(...EVENT_ENDS.map((text) => chunk.lastIndexOf(text)))
        : -1;
    this.countedBytes = end < 0 ? this.countedBytes + chunk.length : chunk.length - end;
    return this.countedBytes <= MAX_BYTES[mode];
  }
}

export default ResponseSizeLimit;
