import { createHash } from 'node:crypto';
import { LRUCache } from 'lru-cache';

const MAX_CACHED_NAMES = 4_096;
/** Odd multiplier that spreads the bits of a product over the whole word. */
const SPREAD_FACTOR = 0x9e3779b1;

const hashes = new LRUCache<string, number>({ max: MAX_CACHED_NAMES });

const hashOf = (name: string): number => {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  const hash = createHash('sha1').update(name).digest().readUInt32BE();
  hashes.set(name, hash);
  return hash;
};

/* eslint-disable no-bitwise -- hashes are mixed by their bits */
const weightOf = (keyHash: number, name: string): number =>
  Math.imul(keyHash ^ hashOf(name), SPREAD_FACTOR) >>> 0;
/* eslint-enable no-bitwise */

/**
 * Chooses one of several names for a key: the same at all instances that know the same names, and for different keys
 * different ones. Cheaper than `rendezvousOrder` where many keys are asked for again and again.
 *
 * @example
 * chooseAlike('llama', ['engine-1', 'engine-2']);
 */
const chooseAlike = (key: string, names: readonly string[]): string | undefined => {
  const keyHash = hashOf(key);
  let best: string | undefined;
  let bestWeight = -1;
  names.forEach((name) => {
    const weight = weightOf(keyHash, name);
    if (weight < bestWeight || (weight === bestWeight && name > best!)) return;
    best = name;
    bestWeight = weight;
  });
  return best;
};

export default chooseAlike;
