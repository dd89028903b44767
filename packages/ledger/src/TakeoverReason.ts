/** Why a role may be taken from its last holder. */
enum TakeoverReason {
  /** Nobody held it. */
  Vacant = 'vacant',
  /** The holder released it by its own record. */
  Released = 'released',
  /** The holder's process is proved dead. */
  ProvedDead = 'proved_dead',
  /** An operator vouched that the holder is down. */
  Vouched = 'vouched',
  /** The holder is silent. Its late orders must be harmless. */
  Silent = 'silent',
}

export default TakeoverReason;
