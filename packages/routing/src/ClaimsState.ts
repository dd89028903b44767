import type { OrderedMap } from 'immutable';
import type ClaimEntry from './ClaimEntry';

/** Claims of one shard within the dedupe window, oldest first. */
type ClaimsState = OrderedMap<string, ClaimEntry>;

export default ClaimsState;
