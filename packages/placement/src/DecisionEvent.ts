import type OrderKind from './OrderKind';

/** A placement decision, as written to the log and the decisions stream. */
interface DecisionEvent {
  /** Identifier: failure domain, epoch, and a number that increases with each decision. */
  readonly decision: string;
  readonly epoch: number;
  readonly kind: OrderKind;
  readonly assetId: string;
  readonly target: string;
  readonly reason: string;
  /** Targets that were considered, with the expected time until the asset is ready. */
  readonly candidates: readonly { readonly target: string; readonly expectedMs: number }[];
}

export default DecisionEvent;
