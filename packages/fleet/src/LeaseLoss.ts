/** Why a holder gives up its tenure. */
enum LeaseLoss {
  /** The store has a record of another holder. */
  Record = 'record',
  /** A peer holds the lease by a later record. */
  Peer = 'peer',
  /** An engine has seen a higher fencing token. */
  Engine = 'engine',
  /** The store came back from an older copy after the authority of the tenure had ended. */
  StoreReturned = 'store_returned',
}

export default LeaseLoss;
