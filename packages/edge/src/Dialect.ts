import type ResponseFields from './ResponseFields';
import type RequestFields from './RequestFields';
import type HeaderRecord from './HeaderRecord';
import type TargetHeaderInput from './TargetHeaderInput';

/** How callers and targets name things in headers. */
interface Dialect {
  parseRequest(headers: HeaderRecord): RequestFields;
  /** Headers for a target as name, value, name, value; those only of one connection are left out. */
  targetHeaders(rawHeaders: readonly string[], input: TargetHeaderInput): string[];
  parseResponse(status: number, headers: HeaderRecord): ResponseFields;
  /** Headers of a target's answer for the caller. */
  callerHeaders(headers: HeaderRecord): Record<string, string | string[]>;
  /** Headers of an answer of the system's own. */
  errorHeaders(attemptId: string): Record<string, string>;
}

export default Dialect;
