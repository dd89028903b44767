import { rendezvousOrder } from '@wisteriapath/model';

/**
 * Returns whether an instance, among those that issue orders, is the one that reads the store for all.
 *
 * @example
 * isElectedReader('edge-a-1', ['edge-b-1', 'edge-c-2']);
 */
const isElectedReader = (self: string, others: readonly string[]): boolean =>
  rendezvousOrder('reader', [...others, self])[0] === self;

export default isElectedReader;
