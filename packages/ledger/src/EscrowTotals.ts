/** What a borrower did with its loans since its session began; both only grow. */
interface EscrowTotals {
  readonly consumed: number;
  readonly returned: number;
}

export default EscrowTotals;
