import type ClaimOutcome from './ClaimOutcome';
import type ClaimPhase from './ClaimPhase';

/** What the log says of one idempotency key. */
interface ClaimEntry {
  readonly phase: ClaimPhase;
  readonly claimId: string;
  readonly bodySha256: string;
  /** Claims that their holders gave up; they can never win. */
  readonly voided: readonly string[];
  readonly outcome: ClaimOutcome | null;
  /** Log time of the first record. */
  readonly atMs: number;
}

export default ClaimEntry;
