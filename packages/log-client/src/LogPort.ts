import type { Maybe } from 'purify-ts';
import type AppendResult from './AppendResult';
import type LogBatch from './LogBatch';

/**
 * Client interface of the platform's log service. Support for another protocol takes one more
 * implementation of this interface.
 */
interface LogPort {
  /** Appends the payloads in order, as consecutive records of a stream. Never rejects. */
  append(stream: string, payloads: readonly string[]): Promise<AppendResult>;
  /**
   * Reads records from `fromOffset` on. Waits up to `waitMs` for a first record. Returns `Nothing`
   * if the log is unreachable or reports an error. Never rejects.
   */
  read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>>;
}

export default LogPort;
