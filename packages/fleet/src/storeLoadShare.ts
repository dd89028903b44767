/**
 * Returns how many loads from the weight store the placer of one failure domain may run at once. A failure domain has
 * few engines, and such a load keeps its engine from all other changes for long.
 *
 * @example
 * storeLoadShare(4, 3); // 1
 */
const storeLoadShare = (maxConcurrentLoads: number, failureDomains: number): number =>
  Math.max(1, Math.floor(maxConcurrentLoads / failureDomains));

export default storeLoadShare;
