/** The change that an order asks for. */
enum OrderKind {
  Load = 'load',
  Unload = 'unload',
}

export default OrderKind;
