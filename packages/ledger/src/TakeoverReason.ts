/** Why a role may be taken. */
enum TakeoverReason {
  /** No process has held the role yet. */
  Vacant = 'vacant',
  /** The holder released the role itself. */
  Released = 'released',
  /** The holder's process is proven dead. */
  ProvedDead = 'proved_dead',
  /** An operator confirmed that the holder is down. */
  Vouched = 'vouched',
  /** The holder is silent but may be alive, so its late orders must be harmless. */
  Silent = 'silent',
}

export default TakeoverReason;
