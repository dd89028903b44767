import type Asset from './Asset';

type Tier = 'memory' | 'disk' | 'remote';

/** Expected load speed from each tier. */
const TIER_MB_PER_S: Readonly<Record<Tier, number>> = {
  memory: 20_000,
  disk: 4_000,
  remote: 1_000,
};
const LOAD_OVERHEAD_MS = 50;
const MS_PER_S = 1_000;

/**
 * Returns the expected time to load an asset from a tier.
 *
 * @example
 * expectedLoadMs({ id: 'cups-7b', sizeMb: 14_000 }, 'disk'); // 3550
 */
const expectedLoadMs = (asset: Asset, tier: Tier): number =>
  LOAD_OVERHEAD_MS + (asset.sizeMb / TIER_MB_PER_S[tier]) * MS_PER_S;

export default expectedLoadMs;
