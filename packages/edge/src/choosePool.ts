import type { PathRoute } from '@wisteriapath/fleet';

/**
 * Chooses a pool of a route at random by weight, with `random` between 0 and 1.
 *
 * @example
 * choosePool(route, Math.random());
 */
const choosePool = ({ pools }: PathRoute, random: number): string | undefined => {
  const total = pools.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  return pools.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  })?.name;
};

export default choosePool;
