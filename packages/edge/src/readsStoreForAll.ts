import type { Peers } from '@wisteriapath/fleet';
import isStoreReader from './isStoreReader';

/**
 * Returns whether an instance is the one that reads the store for all, among the peers that it hears.
 *
 * @example
 * readsStoreForAll({ name: 'a-1', reachesStore: true, isPlacer: false }, peers);
 */
const readsStoreForAll = (self: Parameters<typeof isStoreReader>[0], peers: Peers): boolean => {
  const placers = new Set([...peers.placers.values()].map(({ name }) => name));
  const candidates = peers.livePeers.map(({ member: { name }, reachesStore }) => ({
    name,
    reachesStore,
    isPlacer: placers.has(name),
  }));
  return isStoreReader(self, candidates);
};

export default readsStoreForAll;
