import type FoldStep from './FoldStep';
import type LogRecord from './LogRecord';

/** A pure, deterministic and total function over the bodies of a stream. */
interface Fold<S> {
  readonly initial: S;
  /** Applies a body. Bodies that are malformed are rejected, never thrown on. */
  apply(state: S, body: unknown, record: LogRecord, id: string): FoldStep<S>;
}

export default Fold;
