import { type Either, Left, Right } from 'purify-ts';
import { type Clock, type Deadline, ErrorKind, ServeError, sum, wakeUp } from '@wisteriapath/model';
import type BudgetSyncReply from './BudgetSyncReply';
import type BorrowerAccount from './BorrowerAccount';
import LoanCall from './LoanCall';
import type LoanRequest from './LoanRequest';
import type Reservation from './Reservation';
import TurnQueue from './TurnQueue';

const MAX_RETRY_DELAY_MS = 400;
const MIN_RETRY_DELAY_MS = 20;
/** Longest wait for one home before the next one is asked too. */
const MAX_HOME_PATIENCE_MS = 100;
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
  private readonly turns: TurnQueue;

  /** Calls for loans to the homes, in the order of the accounts. */
  private readonly loanCalls: readonly LoanCall[];

  /** Ends the wait of the request in turn for its next try. */
  private wakeUpController = new AbortController();

  /** Monotonic time before which the homes are expected to lend nothing. */
  private emptyUntilMs = -Infinity;

  private isRefreshing = false;

  /** Tokens of the requests that have neither got them nor been refused. */
  private waitingTokens = 0;

  private readonly closing = new AbortController();

  private recentUses: { readonly atMs: number; readonly tokens: number }[] = [];

  constructor(private readonly parts: Parts) {
    const { accounts, clock } = parts;
    const onEnded = () => this.onLoanCallEnded();
    this.turns = new TurnQueue(clock);
    this.loanCalls = accounts.map((account) => new LoanCall({ account, clock, onEnded }));
  }

  /**
   * Reserves tokens, and waits for them up to the deadline. Refuses at once if a home has announced
   * a time after the deadline, so that a flood of requests does not reach the homes.
   */
  async reserve(tokens: number, deadline: Deadline): Promise<Either<ServeError, Reservation>> {
    const refusal = this.refuseEarly(deadline);
    if (refusal !== undefined) return Left(refusal);
    this.waitingTokens += tokens;
    const hasTurn = await this.turns.take(deadline);
    try {
      return hasTurn ? await this.reserveInTurn(tokens, deadline) : Left(this.deadlineError());
    } finally {
      this.waitingTokens -= tokens;
      if (hasTurn) this.turns.release();
    }
  }

  /** Returns all unused tokens to the homes. Call it once, after the last reservation. */
  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(this.loanCalls.map((loanCall) => loanCall.ended()));
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
    let lateReplyWaits = this.loanCalls.length;
    for (;;) {
      const refusal = this.refuseEarly(deadline);
      if (refusal !== undefined) return Left(refusal);
      if (deadline.isExpired()) return Left(this.deadlineError());
      const replies = await this.borrowMissing(tokens, deadline);
      if (this.balance() >= tokens) return Right(this.reserveFromAccounts(tokens));
      const waitMs = this.earliestRetryMs(replies, tokens);
      if (waitMs !== undefined && waitMs > deadline.remainingMs()) {
        // A home that has not answered yet may still lend in time.
        if (lateReplyWaits === 0 || !this.isLoanCallUnderWay()) {
          return Left(this.refuseUntil(waitMs));
        }
        lateReplyWaits -= 1;
      }
      await this.awaitRetry(waitMs, deadline);
    }
  }

  /** Waits for the time of the next try, for the end of a call, or for the deadline. */
  private async awaitRetry(waitMs: number | undefined, deadline: Deadline): Promise<void> {
    this.wakeUpController = new AbortController();
    const retryMs = Math.max(
      MIN_RETRY_DELAY_MS,
      Math.min(waitMs ?? MAX_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
    );
    const sleepMs = Math.min(retryMs, deadline.remainingMs());
    await this.parts.clock.sleep(sleepMs, this.wakeUpController.signal);
  }

  private isLoanCallUnderWay(): boolean {
    return this.loanCalls.some((loanCall) => loanCall.isUnderWay);
  }

  private onLoanCallEnded(): void {
    wakeUp(this.wakeUpController);
    // Tokens for which nobody waits any more are returned by the refreshes.
    if (this.parts.accounts.some((account) => account.hasOutstandingTokens)) this.startRefreshing();
  }

  /** Refuses the requests of the next moments too, since the homes lend nothing for `waitMs`. */
  private refuseUntil(waitMs: number): ServeError {
    this.emptyUntilMs = this.parts.clock.nowMs() + Math.min(waitMs, MAX_RETRY_DELAY_MS);
    return this.overRateError(waitMs);
  }

  /** Returns the error of a request whose deadline has passed. */
  private deadlineError(): ServeError {
    const isAnyReachable = this.loanCalls.some((loanCall) => loanCall.isReachable);
    return isAnyReachable ? this.deadlineExpiredError() : this.unavailableError();
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

  /**
   * Borrows missing tokens, from the own domain's home first. Waits for no home so long that the
   * others cannot be asked before the deadline. Returns the replies that came.
   */
  private async borrowMissing(tokens: number, deadline: Deadline): Promise<BudgetSyncReply[]> {
    const replies: BudgetSyncReply[] = [];
    const missing = () => Math.max(0, Math.ceil(tokens - this.balance()));
    const headroom = Math.max(this.recentlyUsedTokens(), this.waitingTokens - tokens);
    for (const [index, loanCall] of this.loanCalls.entries()) {
      if (missing() === 0) return replies;
      const isOwn = index === 0;
      const request = loanRequestFor(isOwn ? missing() : 1, missing(), headroom, isOwn);
      const shareMs = deadline.remainingMs() / (this.loanCalls.length - index);
      const reply = await loanCall.ask(request, Math.min(shareMs, MAX_HOME_PATIENCE_MS));
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

  /** Keeps as many tokens as are awaited or were used recently, and returns the rest. */
  private returnUnneeded(accounts: readonly BorrowerAccount[]): void {
    let keep = Math.max(this.recentlyUsedTokens(), this.waitingTokens);
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
