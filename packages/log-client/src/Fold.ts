import type FoldStep from './FoldStep';
import type LogRecord from './LogRecord';

/**
 * A reducer over the record bodies of a stream. It must be pure, deterministic and total, so that
 * all replicas of the stream reach the same state.
 */
interface Fold<S> {
  /** State before the first record. */
  readonly initial: S;
  /** Applies a body. Rejects malformed bodies and never throws. */
  apply(state: S, body: unknown, record: LogRecord, id: string): FoldStep<S>;
}

export default Fold;
