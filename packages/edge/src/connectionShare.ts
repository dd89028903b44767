/** Fraction of a target's connections that all instances may open together. */
const USED_FRACTION = 0.85;

/**
 * Returns the maximum number of connections of one instance to a target.
 *
 * @example
 * connectionShare(360, 7); // 43
 */
const connectionShare = (maxConnections: number, instances: number): number =>
  Math.max(1, Math.floor((maxConnections * USED_FRACTION) / instances));

export default connectionShare;
