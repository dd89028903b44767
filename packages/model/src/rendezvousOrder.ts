import { createHash } from 'node:crypto';

const MAX_CACHED_WEIGHTS = 8_192;

/** Weights that were asked for lately; the same few keys and nodes are ordered many times a second. */
const cachedWeights = new Map<string, bigint>();

const hashWeight = (key: string, node: string): bigint => {
  const text = `${key}\u0000${node}`;
  const known = cachedWeights.get(text);
  if (known !== undefined) return known;
  if (cachedWeights.size >= MAX_CACHED_WEIGHTS) cachedWeights.clear();
  const weight = createHash('sha1').update(text).digest().readBigUInt64BE();
  cachedWeights.set(text, weight);
  return weight;
};

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
