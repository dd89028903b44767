interface Input {
  /** Units a second that are requested at the instance whose share it is. */
  readonly demand: number;
  /** The same at all sharers together. */
  readonly total: number;
  /** Number of instances among which the rate is shared. */
  readonly sharers: number;
  /** Number of instances in all. */
  readonly instances: number;
}

/** Fraction of the rate that is divided evenly among the instances; the rest follows demand. */
const EVEN_FRACTION = 0.2;
/**
 * Number of instances up to which the full even fraction applies. With more instances it shrinks, because the
 * shares of instances without callers would add up.
 */
const MAX_INSTANCES_AT_FULL_EVEN_FRACTION = 7;

/**
 * Returns the fraction of a rate that an instance may spend on its own: a part is even, the rest follows demand.
 *
 * @example
 * shareOfRate({ demand: 300, total: 900, sharers: 6, instances: 6 }); // 0.3
 */
const shareOfRate = ({ demand, total, sharers, instances }: Input): number => {
  const even = 1 / sharers;
  const evenFraction =
    EVEN_FRACTION * Math.min(1, MAX_INSTANCES_AT_FULL_EVEN_FRACTION / Math.max(1, instances));
  const byDemand = total > 0 ? demand / total : even;
  return evenFraction * even + (1 - evenFraction) * byDemand;
};

export default shareOfRate;
