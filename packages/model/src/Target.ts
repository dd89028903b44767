import type TargetKind from './TargetKind';

/** A back end: an engine that runs models, or a plain service. */
interface Target {
  readonly kind: TargetKind;
  /** Base URL, `http://host:port`. */
  readonly url: string;
  readonly failureDomain: string;
  /** Requests that the target bears at once when warm. */
  readonly capacity: number;
  /** Accelerator memory for weights and KV cache; 0 for services. */
  readonly memoryMb: number;
  /** Whether the target refuses orders with a stale fencing number. */
  readonly fencing: boolean;
}

export default Target;
