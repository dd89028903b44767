import { createHash } from 'node:crypto';

const hashWeight = (key: string, node: string): bigint =>
  createHash('sha1').update(`${key}\u0000${node}`).digest().readBigUInt64BE();

/**
 * Orders nodes for a key by rendezvous hashing (highest random weight first). Removing a node
 * does not change the order of the others.
 *
 * @example
 * const [home] = rendezvousOrder('model-a', ['khomas-a', 'khomas-b']);
 */
const rendezvousOrder = (key: string, nodes: readonly string[]): string[] => {
  const weights = new Map(nodes.map((node) => [node, hashWeight(key, node)]));
  return [...weights.keys()].sort((a, b) => {
    const difference = weights.get(b)! - weights.get(a)!;
    if (difference === 0n) return a < b ? -1 : 1;
    return difference > 0n ? 1 : -1;
  });
};

export default rendezvousOrder;
