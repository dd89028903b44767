import type TargetKind from './TargetKind';

/** A back end: an engine that runs models, or a plain HTTP service. */
interface Target {
  readonly kind: TargetKind;
  /** Base URL, `http://host:port`. */
  readonly url: string;
  readonly failureDomain: string;
  /** Maximum number of concurrent requests once the target is warm. */
  readonly capacity: number;
  /** Accelerator memory for weights and KV cache; 0 for services. */
  readonly memoryMb: number;
  /** Whether the target rejects orders with an outdated fencing token. */
  readonly fencing: boolean;
}

export default Target;
