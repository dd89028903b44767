/** How long a load of a model takes at an engine. */
interface LoadTime {
  readonly ms: number;
  /** Whether it is a load from the weight store. */
  readonly isFromStore: boolean;
}

export default LoadTime;
