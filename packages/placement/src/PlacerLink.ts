import type { Maybe } from 'purify-ts';
import type AcquireAnswer from './AcquireAnswer';
import type AcquireAsk from './AcquireAsk';

/** Reaches the placer of a failure domain. */
interface PlacerLink {
  /** `Nothing` if there is no placer or it does not answer. Never rejects. */
  acquire(failureDomain: string, ask: AcquireAsk): Promise<Maybe<AcquireAnswer>>;
}

export default PlacerLink;
