import type { Maybe } from 'purify-ts';
import type AppendResult from './AppendResult';
import type LogBatch from './LogBatch';

/** The platform's log service. Another protocol costs one implementation of this interface. */
interface LogPort {
  /** Appends payloads in order as consecutive records of one stream. Never rejects. */
  append(stream: string, payloads: readonly string[]): Promise<AppendResult>;
  /**
   * Reads from `fromOffset`, waiting up to `waitMs` for a first record. `Nothing` when the log
   * cannot be reached. Never rejects.
   */
  read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>>;
}

export default LogPort;
