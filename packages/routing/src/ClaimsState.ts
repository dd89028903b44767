import type { OrderedMap } from 'immutable';
import type ClaimEntry from './ClaimEntry';

/** The claims of one shard within the deduplication window by idempotency key, oldest first. */
type ClaimsState = OrderedMap<string, ClaimEntry>;

export default ClaimsState;
