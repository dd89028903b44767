import type ClaimOutcome from './ClaimOutcome';
import type ClaimPhase from './ClaimPhase';

/** The state of one idempotency key, folded from the log. */
interface ClaimEntry {
  readonly phase: ClaimPhase;
  /** Id of the latest claim; empty if only releases are known. */
  readonly claimId: string;
  /** Hash of the request that the claim is for. */
  readonly bodySha256: string;
  /** Ids of claims that their holders released; they can never win. */
  readonly voided: readonly string[];
  /** `null` until the outcome is recorded. */
  readonly outcome: ClaimOutcome | null;
  /** Log time of the key's first record, in milliseconds. */
  readonly atMs: number;
}

export default ClaimEntry;
