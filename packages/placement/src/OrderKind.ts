/** Orders to an engine. */
enum OrderKind {
  Load = 'load',
  Unload = 'unload',
  /** Only raises the fencing number. */
  Fence = 'fence',
}

export default OrderKind;
