import type OrderKind from './OrderKind';

/** One placement decision, for the log and the decisions stream. */
interface DecisionEvent {
  readonly decision: string;
  readonly epoch: number;
  readonly kind: OrderKind;
  readonly assetId: string;
  readonly target: string;
  readonly reason: string;
  /** Targets that were weighed, with the expected time until the asset is ready. */
  readonly candidates: readonly { readonly target: string; readonly expectedMs: number }[];
}

export default DecisionEvent;
