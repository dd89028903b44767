import type { Maybe } from 'purify-ts';
import type SlotLeaseReply from './SlotLeaseReply';
import type SlotLeaseRequest from './SlotLeaseRequest';

/** A client of the placers of all failure domains. */
interface PlacerLink {
  /** Requests slots; `Nothing` if the domain has no placer or it does not answer. Never rejects. */
  acquire(failureDomain: string, request: SlotLeaseRequest): Promise<Maybe<SlotLeaseReply>>;
}

export default PlacerLink;
