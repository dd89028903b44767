import type { Maybe } from 'purify-ts';
import type SlotLeaseReply from './SlotLeaseReply';
import type SlotLeaseRequest from './SlotLeaseRequest';

/** Reaches the placer of a failure domain. */
interface PlacerLink {
  /** `Nothing` if there is no placer or it does not answer. Never rejects. */
  acquire(failureDomain: string, ask: SlotLeaseRequest): Promise<Maybe<SlotLeaseReply>>;
}

export default PlacerLink;
