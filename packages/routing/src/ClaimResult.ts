import type { ServeError } from '@wisteriapath/model';
import type ClaimOutcome from './ClaimOutcome';

/** What a claim came to. */
type ClaimResult =
  /** The claim won: the caller must dispatch once and complete it, or release it. */
  | { readonly kind: 'won'; readonly claimId: string }
  /** The call ran before; this was its answer. */
  | { readonly kind: 'ran'; readonly outcome: ClaimOutcome }
  | { readonly kind: 'refused'; readonly error: ServeError };

export default ClaimResult;
