/** Options of a placer. */
interface PlacerOptions {
  /** Failure domain whose engines this placer controls. */
  readonly failureDomain: string;
  /** Number of concurrent loads that the weight store serves at full speed, over all placers. */
  readonly maxConcurrentStoreLoads: number;
  /** Window over which the rate of loads from the weight store is limited. */
  readonly weightStoreWindowMs: number;
}

export default PlacerOptions;
