/** Why a port is not open. */
interface OpenFailure {
  /** Code of the last error; empty before the first. */
  readonly code: string;
  /** Number of failures so far. */
  readonly failures: number;
}

export default OpenFailure;
