import type EscrowTotals from './EscrowTotals';

/** What one borrower's session was lent, and what became of it. */
class EscrowAccount {
  private lent = 0;

  private consumed = 0;

  private returned = 0;

  constructor(private syncedAtMs: number) {}

  get lentTotal(): number {
    return this.lent;
  }

  /** Tokens that the borrower may still spend. */
  get held(): number {
    return this.lent - this.consumed - this.returned;
  }

  silentMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  /** Takes in newer totals; answers with the tokens that came back since the last ones. */
  settle(totals: EscrowTotals, nowMs: number): number {
    const cameBack = Math.max(0, totals.returned - this.returned);
    this.consumed = Math.max(this.consumed, totals.consumed);
    this.returned += cameBack;
    this.syncedAtMs = nowMs;
    return cameBack;
  }

  lend(tokens: number): void {
    this.lent += tokens;
  }
}

export default EscrowAccount;
