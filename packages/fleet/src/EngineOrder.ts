import type OrderKind from './OrderKind';

/** An order to an engine to load or unload a model or adapter. */
interface EngineOrder {
  readonly kind: OrderKind;
  readonly model: string;
  readonly adapter: string | null;
  /** Number of orders that the engine must have accepted so far; otherwise it does not carry this one out. */
  readonly expectedCount: number;
  /** Holder of the authority that sends the order. */
  readonly holder: string;
  /** Fencing token of the authority. */
  readonly fence: number;
}

export default EngineOrder;
