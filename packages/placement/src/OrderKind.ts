/** Kind of an order to an engine. */
enum OrderKind {
  Load = 'load',
  Unload = 'unload',
  /** Raises the engine's fencing token, and does nothing else. */
  Fence = 'fence',
}

export default OrderKind;
