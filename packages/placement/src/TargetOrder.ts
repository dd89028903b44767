import type OrderKind from './OrderKind';

/** One order of a placer. Repeating it is harmless. */
interface TargetOrder {
  readonly kind: OrderKind;
  readonly assetId: string;
  readonly sizeMb: number;
  /** The placer's epoch. */
  readonly fencing: number;
  /** Counts the orders of one epoch to one target. */
  readonly sequence: number;
}

export default TargetOrder;
