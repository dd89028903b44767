/** What a process may use. */
interface ProcessLimits {
  /** Memory beyond which the platform ends it. */
  readonly memoryBytes: number;
  /** Size of the heap beyond which it ends itself. */
  readonly heapBytes: number;
  /** Descriptors that it may have open; Infinity if the system does not say. */
  readonly descriptors: number;
}

export default ProcessLimits;
