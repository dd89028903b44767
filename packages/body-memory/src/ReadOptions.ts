import type ReceivedBody from './ReceivedBody';

/** How the body of a request is read. */
interface ReadOptions {
  readonly limitBytes: number;
  /** Holds the bytes that have arrived. Whoever ends the request drops it. */
  readonly body: ReceivedBody;
  /** Aborts when a body that has not arrived is too late. */
  readonly stopSignal?: AbortSignal;
  /** Closes the connection of a caller who sends on without end after the body was refused. */
  readonly cut: () => void;
}

export default ReadOptions;
