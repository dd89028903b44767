interface Weighed {
  readonly cost: number;
  readonly utilization: number;
}

/** Ratio of a cost to the lowest one up to which targets count as equally good. */
const EQUAL_COST_RATIO = 1.2;

/**
 * Orders candidates by cost, but for the first: of two drawn among those within 20% of the best, the less utilized one. Instances
 * that know the same of all targets thus do not send all requests to the same one.
 *
 * @example
 * spreadBest([{ cost: 80, utilization: 0.5 }, { cost: 85, utilization: 0.1 }], Math.random);
 */
const spreadBest = <T extends Weighed>(
  candidates: readonly T[],
  random: () => number,
): readonly T[] => {
  const sorted = [...candidates].sort((one, other) => one.cost - other.cost);
  const limit = (sorted[0]?.cost ?? 0) * EQUAL_COST_RATIO;
  const equal = sorted.filter(({ cost }) => cost <= limit);
  if (equal.length <= 1) return sorted;
  const first = Math.floor(random() * equal.length);
  const second = (first + 1 + Math.floor(random() * (equal.length - 1))) % equal.length;
  const [one, other] = [equal[first], equal[second]];
  const chosen = other.utilization < one.utilization ? other : one;
  return [chosen, ...sorted.filter((candidate) => candidate !== chosen)];
};

export default spreadBest;
