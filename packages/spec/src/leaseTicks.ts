/** Times of the lease in ticks; a machine acts any number of times between two of them. */
const leaseTicks = {
  /** Time for which a renewal gives authority. */
  lease: 1,
  /** Least time between the orders of two holders. */
  handover: 1,
} as const;

export default leaseTicks;
