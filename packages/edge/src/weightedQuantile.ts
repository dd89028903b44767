interface Sample {
  readonly value: number;
  readonly weight: number;
}

/**
 * Returns the least value that, with all lower ones, has the given fraction of the weight; undefined if nothing has any.
 *
 * @example
 * weightedQuantile([{ value: 10, weight: 1 }, { value: 30, weight: 1 }], 0.5); // 10
 */
const weightedQuantile = (samples: readonly Sample[], fraction: number): number | undefined => {
  const sorted = samples
    .filter(({ weight }) => weight > 0)
    .sort((one, other) => one.value - other.value);
  const neededWeight = fraction * sorted.reduce((sum, { weight }) => sum + weight, 0);
  let weightSoFar = 0;
  const found = sorted.find(({ weight }) => {
    weightSoFar += weight;
    return weightSoFar >= neededWeight;
  });
  return (found ?? sorted.at(-1))?.value;
};

export default weightedQuantile;
