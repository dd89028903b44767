import type HeaderRecord from './HeaderRecord';
import type RequestFields from './RequestFields';
import type ResponseFields from './ResponseFields';
import type TargetHeaderInput from './TargetHeaderInput';

/** The mapping between the headers that callers and targets use and the fields of this package. */
interface Dialect {
  /** Parses the headers of a caller's request. */
  parseRequest(headers: HeaderRecord): RequestFields;
  /**
   * Returns the headers for a target as a flat list of names and values, without the headers that concern
   * a single connection.
   */
  targetHeaders(rawHeaders: readonly string[], input: TargetHeaderInput): string[];
  /** Parses status and headers of a target's response. */
  parseResponse(status: number, headers: HeaderRecord): ResponseFields;
  /** Returns the headers of a target's response that are passed on to the caller. */
  callerHeaders(headers: HeaderRecord): Record<string, string | string[]>;
  /** Returns the headers of an error response of this system. */
  errorHeaders(attemptId: string): Record<string, string>;
}

export default Dialect;
