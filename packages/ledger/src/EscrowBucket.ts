import type { Clock } from '@wisteriapath/model';
import EscrowAccount from './EscrowAccount';
import type EscrowLimits from './EscrowLimits';
import type EscrowTotals from './EscrowTotals';
import type LoanWish from './LoanWish';

const SECOND_MS = 1_000;
/** Time after which a queued borrower that has not asked again loses its turn. */
const TURN_EXPIRY_MS = 1_000;
/** Share of the burst below which no borrower gets more than it needs at once. */
const RESERVED_SHARE = 0.5;

interface Turn {
  readonly session: string;
  tokens: number;
  askedAtMs: number;
}

interface Options {
  /** Silence after which a borrower's tokens are written off as spent. */
  readonly writeOffMs: number;
  /** Tokens at the start. */
  readonly initialLevel: number;
  /** Time for which loans of an earlier holder may still be spent; the bucket stays empty. */
  readonly refillDelayMs: number;
}

/**
 * A token bucket that lends. Its level and all that borrowers hold never exceed the burst together,
 * so no window sees more spent than burst + rate × window, however messages are lost or repeated.
 */
class EscrowBucket {
  private level: number;

  private refilledAtMs: number;

  private readonly accounts = new Map<string, EscrowAccount>();

  private turns: Turn[] = [];

  constructor(
    private limits: EscrowLimits,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {
    this.level = options.initialLevel;
    this.refilledAtMs = clock.nowMs() + options.refillDelayMs;
  }

  /** Takes changed limits; a level above a smaller burst is cut. */
  setLimits(limits: EscrowLimits): void {
    this.refill();
    this.limits = limits;
    this.cap();
  }

  /** Tokens that may be lent now. */
  available(): number {
    this.refill();
    return this.level;
  }

  /** Tokens that borrowers hold. */
  held(): number {
    return [...this.accounts.values()].reduce((sum, account) => sum + account.held, 0);
  }

  /**
   * Takes in a borrower's totals. They only grow, so repeated and reordered calls are harmless.
   * False if the session was written off: the borrower must begin a new one.
   */
  settle(session: string, totals: EscrowTotals): boolean {
    this.refill();
    const known = this.accounts.get(session);
    const begun = totals.consumed > 0 || totals.returned > 0;
    if (known === undefined && begun) return false;
    const account = known ?? this.open(session);
    this.level += account.settle(totals, this.clock.nowMs());
    this.cap();
    return true;
  }

  /**
   * Lends to a session, and answers with all that was lent in it. A borrower that may queue is served
   * before those that asked later.
   */
  lend(session: string, wish: LoanWish): number {
    const account = this.accounts.get(session) ?? this.open(session);
    if (wish.mostTokens > 0) this.lendTo(account, session, wish);
    return account.lentTotal;
  }

  /** Time until `tokens` can be lent to the session, after those queued before it. */
  timeUntilMs(session: string, tokens: number): number {
    if (tokens > this.limits.burst) return Infinity;
    const missing = Math.max(0, tokens + this.queuedBefore(session) - this.available());
    const waitMs = (missing / this.limits.ratePerS) * SECOND_MS;
    return waitMs + Math.max(0, this.refilledAtMs - this.clock.nowMs());
  }

  private lendTo(account: EscrowAccount, session: string, wish: LoanWish): void {
    const { leastTokens, neededTokens, mostTokens, mayQueue } = wish;
    const available = this.available() - this.queuedBefore(session);
    if (available < leastTokens) {
      if (mayQueue) this.queue(session, leastTokens);
      return;
    }
    const needed = Math.min(neededTokens, available);
    const spare = Math.max(0, available - needed - this.limits.burst * RESERVED_SHARE);
    const lent = Math.floor(Math.min(mostTokens, needed + spare));
    this.turns = this.turns.filter((turn) => turn.session !== session);
    this.level -= lent;
    account.lend(lent);
  }

  private queue(session: string, tokens: number): void {
    const turn = this.turns.find((other) => other.session === session);
    if (turn === undefined) {
      this.turns.push({ session, tokens, askedAtMs: this.clock.nowMs() });
      return;
    }
    turn.tokens = tokens;
    turn.askedAtMs = this.clock.nowMs();
  }

  private queuedBefore(session: string): number {
    const oldestMs = this.clock.nowMs() - TURN_EXPIRY_MS;
    this.turns = this.turns.filter((turn) => turn.askedAtMs >= oldestMs);
    const position = this.turns.findIndex((turn) => turn.session === session);
    const before = position < 0 ? this.turns : this.turns.slice(0, position);
    return before.reduce((sum, turn) => sum + turn.tokens, 0);
  }

  private open(session: string): EscrowAccount {
    const account = new EscrowAccount(this.clock.nowMs());
    this.accounts.set(session, account);
    return account;
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    this.writeOff(nowMs);
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.level += (elapsedMs / SECOND_MS) * this.limits.ratePerS;
    this.refilledAtMs += elapsedMs;
    this.cap();
  }

  private cap(): void {
    this.level = Math.min(this.level, Math.max(0, this.limits.burst - this.held()));
  }

  private writeOff(nowMs: number): void {
    this.accounts.forEach((account, session) => {
      if (account.silentMs(nowMs) > this.options.writeOffMs) this.accounts.delete(session);
    });
  }
}

export default EscrowBucket;
