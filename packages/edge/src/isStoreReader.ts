import { rendezvousOrder } from '@wisteriapath/model';

/** An instance that may read the store for all. */
interface Candidate {
  readonly name: string;
  /** Whether the store answers it. */
  readonly reachesStore: boolean;
  /** Whether it gives orders to engines; all instances hear of these. */
  readonly isPlacer: boolean;
}

/**
 * Returns whether an instance is the one that reads the store for all, relays changes of targets and states how far it read: one of
 * those that the store answers, a placer if possible. Instances that disagree only read more than needed.
 *
 * @example
 * isStoreReader({ name: 'edge-a-1', reachesStore: true, isPlacer: true }, peers);
 */
const isStoreReader = (self: Candidate, peers: readonly Candidate[]): boolean => {
  const readers = [self, ...peers].filter(({ reachesStore }) => reachesStore);
  const placers = readers.filter(({ isPlacer }) => isPlacer);
  const candidates = placers.length > 0 ? placers : readers;
  const [first] = rendezvousOrder(
    'reader',
    candidates.map(({ name }) => name),
  );
  return first === self.name;
};

export default isStoreReader;
