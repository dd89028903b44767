import ResponseMode from './ResponseMode';

const KB = 1_024;
const MB = 1_024 * KB;

/**
 * Maximum size of a response body, or of a single event of a stream, by what is done with the response. Guards against
 * targets that send bytes without end.
 */
const maxResponseBytes: Readonly<Record<ResponseMode, number>> = {
  [ResponseMode.None]: 0,
  [ResponseMode.NotExecuted]: 64 * KB,
  [ResponseMode.Streamed]: MB,
  [ResponseMode.Buffered]: 8 * MB,
  [ResponseMode.Invalid]: 0,
};

export default maxResponseBytes;
