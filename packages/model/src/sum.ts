/**
 * Returns the sum of numbers; 0 for an empty list.
 *
 * @example
 * sum([1, 2, 3]); // 6
 */
const sum = (numbers: readonly number[]): number => numbers.reduce((a, b) => a + b, 0);

export default sum;
