/**
 * Returns the number below which `percent` percent of the numbers lie, or 0 if there are none.
 *
 * @example
 * percentile([1, 2, 3, 4], 50); // 3
 */
const percentile = (numbers: readonly number[], percent: number): number => {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))] ?? 0;
};

export default percentile;
