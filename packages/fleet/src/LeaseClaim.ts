/** When a candidate may take a lease. */
enum LeaseClaim {
  /** At once, and give orders at once. */
  AtOnce = 'at_once',
  /** At once, with a handover delay before the first order. */
  AfterHandover = 'after_handover',
  /** Once the authority of another holder must have ended, with a handover delay before the first order. */
  AfterExpiry = 'after_expiry',
}

export default LeaseClaim;
