import type OrderKind from './OrderKind';

/** An order of a placer to an engine. Orders are idempotent. */
interface TargetOrder {
  readonly kind: OrderKind;
  readonly assetId: string;
  readonly sizeMb: number;
  /** Fencing token: the epoch of the placer. */
  readonly fencing: number;
  /** Number of the order among those of one epoch to one target. */
  readonly sequence: number;
}

export default TargetOrder;
