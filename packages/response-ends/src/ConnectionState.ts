/** How far a connection of a caller has come. */
enum ConnectionState {
  /** It was accepted so recently that its first request may be on its way. */
  New = 'new',
  /** No request has arrived on it with its whole head. */
  Unused = 'unused',
  /** All its requests have been answered. */
  Idle = 'idle',
  /** Its first request has not arrived with its whole body. */
  ReceivingFirst = 'receiving_first',
  /** Its only request has not arrived with its whole body. */
  Receiving = 'receiving',
  /** A request that has arrived is being answered. */
  Answering = 'answering',
}

export default ConnectionState;
