import type { Clock } from '@wisteriapath/model';
import LenderAccount from './LenderAccount';
import type EscrowLimits from './EscrowLimits';
import type EscrowTotals from './EscrowTotals';
import type LoanRequest from './LoanRequest';

const SECOND_MS = 1_000;
/** Time after which a queued borrower that has not asked again is removed from the queue. */
const QUEUE_ENTRY_TTL_MS = 1_000;
/** Share of the burst that is reserved for immediate needs: it is not lent for expected use. */
const PREFETCH_RESERVE_SHARE = 0.5;

interface QueueEntry {
  readonly session: string;
  tokens: number;
  requestedAtMs: number;
}

interface Options {
  /** Silence after which a borrower's tokens are written off as spent. */
  readonly writeOffMs: number;
  /** Initial number of tokens. */
  readonly initialLevel: number;
  /** Time in which loans of the previous holder may still be spent; the bucket is not refilled. */
  readonly refillDelayMs: number;
}

/**
 * A token bucket that lends its tokens to borrowers. Its level and all outstanding tokens together
 * never exceed the burst. So no window sees more than burst + rate × window spent, even if messages
 * are lost, repeated or reordered.
 */
class EscrowBucket {
  private level: number;

  private refilledAtMs: number;

  private readonly accounts = new Map<string, LenderAccount>();

  private waitQueue: QueueEntry[] = [];

  constructor(
    private limits: EscrowLimits,
    private readonly clock: Clock,
    private readonly options: Options,
  ) {
    this.level = options.initialLevel;
    this.refilledAtMs = clock.nowMs() + options.refillDelayMs;
  }

  /** Changes the limits; a level above the new burst is reduced to it. */
  setLimits(limits: EscrowLimits): void {
    this.refill();
    this.limits = limits;
    this.capLevel();
  }

  /** Returns the number of tokens that can be lent now. */
  available(): number {
    this.refill();
    return this.level;
  }

  /** Returns the number of tokens that borrowers hold unspent. */
  outstandingTokens(): number {
    return [...this.accounts.values()].reduce((sum, account) => sum + account.outstandingTokens, 0);
  }

  /**
   * Applies a borrower's totals. They only grow, so repeated and reordered calls are harmless.
   * Returns false if the session was written off: the borrower must begin a new one.
   */
  settle(session: string, totals: EscrowTotals): boolean {
    this.refill();
    const known = this.accounts.get(session);
    const hasTotals = totals.consumed > 0 || totals.returned > 0;
    if (known === undefined && hasTotals) return false;
    const account = known ?? this.openAccount(session);
    this.level += account.settle(totals, this.clock.nowMs());
    this.capLevel();
    return true;
  }

  /**
   * Lends to a session, and returns the total lent in it. A borrower that may queue is served
   * before borrowers that asked later.
   */
  lend(session: string, request: LoanRequest): number {
    const account = this.accounts.get(session) ?? this.openAccount(session);
    if (request.mostTokens > 0) this.lendTo(account, session, request);
    return account.lentTotal;
  }

  /** Returns the time until `tokens` can be lent to the session, behind those queued before it. */
  timeUntilMs(session: string, tokens: number): number {
    if (tokens > this.limits.burst) return Infinity;
    const missing = Math.max(0, tokens + this.tokensQueuedBefore(session) - this.available());
    const waitMs = (missing / this.limits.ratePerS) * SECOND_MS;
    return waitMs + Math.max(0, this.refilledAtMs - this.clock.nowMs());
  }

  private lendTo(account: LenderAccount, session: string, request: LoanRequest): void {
    const { leastTokens, neededTokens, mostTokens, mayQueue } = request;
    const available = this.available() - this.tokensQueuedBefore(session);
    if (available < leastTokens) {
      if (mayQueue) this.enqueue(session, leastTokens);
      return;
    }
    const needed = Math.min(neededTokens, available);
    const spare = Math.max(0, available - needed - this.limits.burst * PREFETCH_RESERVE_SHARE);
    const lent = Math.floor(Math.min(mostTokens, needed + spare));
    this.waitQueue = this.waitQueue.filter((entry) => entry.session !== session);
    this.level -= lent;
    account.lend(lent);
  }

  private enqueue(session: string, tokens: number): void {
    const entry = this.waitQueue.find((other) => other.session === session);
    if (entry === undefined) {
      this.waitQueue.push({ session, tokens, requestedAtMs: this.clock.nowMs() });
      return;
    }
    entry.tokens = tokens;
    entry.requestedAtMs = this.clock.nowMs();
  }

  private tokensQueuedBefore(session: string): number {
    const oldestMs = this.clock.nowMs() - QUEUE_ENTRY_TTL_MS;
    this.waitQueue = this.waitQueue.filter((entry) => entry.requestedAtMs >= oldestMs);
    const position = this.waitQueue.findIndex((entry) => entry.session === session);
    const before = position < 0 ? this.waitQueue : this.waitQueue.slice(0, position);
    return before.reduce((sum, entry) => sum + entry.tokens, 0);
  }

  private openAccount(session: string): LenderAccount {
    const account = new LenderAccount(this.clock.nowMs());
    this.accounts.set(session, account);
    return account;
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    this.writeOffSilentSessions(nowMs);
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.level += (elapsedMs / SECOND_MS) * this.limits.ratePerS;
    this.refilledAtMs += elapsedMs;
    this.capLevel();
  }

  private capLevel(): void {
    this.level = Math.min(this.level, Math.max(0, this.limits.burst - this.outstandingTokens()));
  }

  private writeOffSilentSessions(nowMs: number): void {
    this.accounts.forEach((account, session) => {
      if (account.timeSinceSyncMs(nowMs) > this.options.writeOffMs) this.accounts.delete(session);
    });
  }
}

export default EscrowBucket;
