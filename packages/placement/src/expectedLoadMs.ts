import type Asset from './Asset';

type Tier = 'memory' | 'disk' | 'remote';

/** Expected load speed from each tier. */
const TIER_MB_PER_S: Readonly<Record<Tier, number>> = {
  memory: 20_000,
  disk: 4_000,
  remote: 1_000,
};
const START_MS = 50;
const SECOND_MS = 1_000;

/**
 * Expected time to load an asset from a tier.
 *
 * @example
 * expectedLoadMs({ id: 'cups-7b', sizeMb: 14_000 }, 'disk'); // 3550
 */
const expectedLoadMs = (asset: Asset, tier: Tier): number =>
  START_MS + (asset.sizeMb / TIER_MB_PER_S[tier]) * SECOND_MS;

export default expectedLoadMs;
