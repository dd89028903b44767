import type EscrowTotals from './EscrowTotals';

/** The lender's record of one borrower session: tokens lent, consumed and returned. */
class LenderAccount {
  private lent = 0;

  private consumed = 0;

  private returned = 0;

  constructor(private syncedAtMs: number) {}

  /** Tokens that were lent in the session. */
  get lentTotal(): number {
    return this.lent;
  }

  /** Tokens that the borrower may still spend. */
  get outstandingTokens(): number {
    return this.lent - this.consumed - this.returned;
  }

  /** Returns the time since the borrower last reported its totals. */
  timeSinceSyncMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  /** Applies newer totals, and returns the number of tokens returned since the previous ones. */
  settle(totals: EscrowTotals, nowMs: number): number {
    const newlyReturned = Math.max(0, totals.returned - this.returned);
    this.consumed = Math.max(this.consumed, totals.consumed);
    this.returned += newlyReturned;
    this.syncedAtMs = nowMs;
    return newlyReturned;
  }

  lend(tokens: number): void {
    this.lent += tokens;
  }
}

export default LenderAccount;
