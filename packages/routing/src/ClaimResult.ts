import type { ServeError } from '@wisteriapath/model';
import type ClaimOutcome from './ClaimOutcome';

/** The result of an attempt to claim an idempotency key. */
type ClaimResult =
  /** The claim won. Dispatch the call once and complete the claim, or release the claim. */
  | { readonly kind: 'won'; readonly claimId: string }
  /** The call ran before, with this outcome. */
  | { readonly kind: 'ran'; readonly outcome: ClaimOutcome }
  | { readonly kind: 'refused'; readonly error: ServeError };

export default ClaimResult;
