import { type Either, Left, Right } from 'purify-ts';
import { type Clock, type Deadline, ErrorKind, ServeError, sum } from '@wisteriapath/model';
import type BudgetSyncReply from './BudgetSyncReply';
import type BorrowerAccount from './BorrowerAccount';
import type LoanRequest from './LoanRequest';
import type Reservation from './Reservation';

const MAX_RETRY_DELAY_MS = 400;
const MIN_RETRY_DELAY_MS = 20;
/** Window whose use predicts the use of the near future. */
const RECENT_USE_WINDOW_MS = 500;

interface Parts {
  readonly workspace: string;
  /** Accounts at the homes of all failure domains, this instance's own domain first. */
  readonly accounts: readonly BorrowerAccount[];
  readonly clock: Clock;
  /** Time between two reports to the homes while tokens are outstanding. */
  readonly refreshIntervalMs: number;
}

const NO_LOAN: LoanRequest = { leastTokens: 0, neededTokens: 0, mostTokens: 0, mayQueue: false };

const loanRequestFor = (
  leastTokens: number,
  neededTokens: number,
  headroom: number,
  mayQueue: boolean,
): LoanRequest => ({ leastTokens, neededTokens, mostTokens: neededTokens + headroom, mayQueue });

/** One workspace's token budget on this instance. Borrows from the homes, request by request. */
class WorkspaceBudget {
  private queueTail: Promise<unknown> = Promise.resolve();

  /** Monotonic time before which the homes are expected to lend nothing. */
  private emptyUntilMs = -Infinity;

  private isRefreshing = false;

  /** Tokens of the queued requests that have not been started. */
  private queuedTokens = 0;

  private readonly closing = new AbortController();

  private recentUses: { readonly atMs: number; readonly tokens: number }[] = [];

  constructor(private readonly parts: Parts) {}

  /**
   * Reserves tokens, and waits for them up to the deadline. Refuses at once if a home has announced
   * a time after the deadline, so that a flood of requests does not reach the homes.
   */
  reserve(tokens: number, deadline: Deadline): Promise<Either<ServeError, Reservation>> {
    const refusal = this.refuseEarly(deadline);
    if (refusal !== undefined) return Promise.resolve(Left(refusal));
    this.queuedTokens += tokens;
    const turn = this.queueTail.then(() => {
      this.queuedTokens -= tokens;
      return this.reserveInTurn(tokens, deadline);
    });
    this.queueTail = turn;
    return turn;
  }

  /** Returns all unused tokens to the homes. Call it once, after the last reservation. */
  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(
      this.parts.accounts
        .filter((account) => account.hasOutstandingTokens)
        .map((account) => {
          account.returnSurplus(0);
          return account.sync(NO_LOAN);
        }),
    );
  }

  private refuseEarly(deadline: Deadline): ServeError | undefined {
    const waitMs = this.emptyUntilMs - this.parts.clock.nowMs();
    return waitMs > deadline.remainingMs() ? this.overRateError(waitMs) : undefined;
  }

  private overRateError(waitMs: number): ServeError {
    const message = `workspace ${this.parts.workspace} is over its token rate`;
    const retryAfterMs = Number.isFinite(waitMs) ? Math.ceil(waitMs) : undefined;
    return ServeError.notExecuted(ErrorKind.OverRate, message, retryAfterMs);
  }

  private async reserveInTurn(
    tokens: number,
    deadline: Deadline,
  ): Promise<Either<ServeError, Reservation>> {
    for (;;) {
      const refusal = this.refuseEarly(deadline);
      if (refusal !== undefined) return Left(refusal);
      if (deadline.isExpired()) return Left(this.deadlineExpiredError());
      const replies = await this.borrowMissing(tokens);
      if (this.balance() >= tokens) return Right(this.reserveFromAccounts(tokens));
      const waitMs = this.earliestRetryMs(replies, tokens);
      if (deadline.isExpired()) {
        return Left(waitMs === undefined ? this.unavailableError() : this.overRateError(waitMs));
      }
      if (waitMs !== undefined && waitMs > deadline.remainingMs()) {
        this.emptyUntilMs = this.parts.clock.nowMs() + Math.min(waitMs, MAX_RETRY_DELAY_MS);
        return Left(this.overRateError(waitMs));
      }
      const retryMs = Math.max(
        MIN_RETRY_DELAY_MS,
        Math.min(waitMs ?? MAX_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
      );
      await this.parts.clock.sleep(Math.min(retryMs, deadline.remainingMs()));
    }
  }

  private deadlineExpiredError(): ServeError {
    const message = `the budget of workspace ${this.parts.workspace} granted no tokens before the deadline`;
    return ServeError.notExecuted(ErrorKind.DeadlineExpired, message);
  }

  private unavailableError(): ServeError {
    const message = `no budget home of workspace ${this.parts.workspace} can be reached`;
    return ServeError.notExecuted(ErrorKind.BudgetUnavailable, message);
  }

  private balance(): number {
    return sum(this.parts.accounts.map((account) => account.balance()));
  }

  /** Borrows missing tokens, from the own domain's home first. Returns the homes' replies. */
  private async borrowMissing(tokens: number): Promise<BudgetSyncReply[]> {
    const replies: BudgetSyncReply[] = [];
    const [own, ...others] = this.parts.accounts;
    const missing = () => Math.max(0, Math.ceil(tokens - this.balance()));
    if (missing() === 0) return replies;
    const headroom = Math.max(this.recentlyUsedTokens(), this.queuedTokens);
    const ownReply = await own.sync(loanRequestFor(missing(), missing(), headroom, true));
    if (ownReply !== undefined) replies.push(ownReply);
    for (const account of others) {
      if (missing() === 0) return replies;
      const reply = await account.sync(loanRequestFor(1, missing(), headroom, false));
      if (reply !== undefined) replies.push(reply);
    }
    return replies;
  }

  /** Returns the shortest time until a home expects to lend; undefined if none replied. */
  private earliestRetryMs(replies: readonly BudgetSyncReply[], tokens: number): number | undefined {
    if (replies.length === 0) return undefined;
    const soonest = Math.min(...replies.map((reply) => reply.retryAfterMs));
    const missing = tokens - this.balance();
    return missing > 0 ? soonest : 0;
  }

  private reserveFromAccounts(tokens: number): Reservation {
    this.recentUses.push({ atMs: this.parts.clock.nowMs(), tokens });
    const parts: ReturnType<BorrowerAccount['reserve']>[] = [];
    let missing = tokens;
    this.parts.accounts.forEach((account) => {
      const part = account.reserve(missing);
      missing -= part.tokens;
      parts.push(part);
    });
    this.startRefreshing();
    return {
      tokens,
      settle: (usedTokens) => {
        let left = usedTokens;
        parts.forEach((part) => {
          const used = Math.min(left, part.tokens);
          part.settle(used);
          left -= used;
        });
      },
    };
  }

  private recentlyUsedTokens(): number {
    const oldestMs = this.parts.clock.nowMs() - RECENT_USE_WINDOW_MS;
    this.recentUses = this.recentUses.filter((use) => use.atMs >= oldestMs);
    return sum(this.recentUses.map((use) => use.tokens));
  }

  /** Keeps as many tokens as were used recently, in account order, and returns the rest. */
  private returnUnneeded(accounts: readonly BorrowerAccount[]): void {
    let keep = this.recentlyUsedTokens();
    accounts.forEach((account) => {
      account.returnSurplus(keep);
      keep = Math.max(0, keep - account.balance());
    });
  }

  private startRefreshing(): void {
    if (this.isRefreshing) return;
    this.isRefreshing = true;
    void this.refreshUntilIdle();
  }

  /** Reports to the homes and returns unneeded tokens, until no tokens are outstanding. */
  private async refreshUntilIdle(): Promise<void> {
    const { accounts, clock, refreshIntervalMs } = this.parts;
    const { signal } = this.closing;
    while (!signal.aborted && accounts.some((account) => account.hasOutstandingTokens)) {
      await clock.sleep(refreshIntervalMs, signal);
      const active = accounts.filter((account) => account.hasOutstandingTokens);
      this.returnUnneeded(active);
      await Promise.all(active.map((account) => account.sync(NO_LOAN)));
    }
    this.isRefreshing = false;
  }
}

export default WorkspaceBudget;
