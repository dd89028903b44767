/** The tokens that a borrower consumed and returned since its session began. Both only grow. */
interface EscrowTotals {
  readonly consumed: number;
  readonly returned: number;
}

export default EscrowTotals;
