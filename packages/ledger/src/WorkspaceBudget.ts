import { type Either, Left, Right } from 'purify-ts';
import { type Clock, type Deadline, ErrorKind, ServeError, sum } from '@wisteriapath/model';
import type BudgetSyncReply from './BudgetSyncReply';
import type BorrowerAccount from './BorrowerAccount';
import type LoanWish from './LoanWish';
import type Reservation from './Reservation';

const RETRY_CAP_MS = 400;
const RETRY_FLOOR_MS = 20;
const USE_MEMORY_MS = 500;

interface Parts {
  readonly workspace: string;
  /** Accounts with every home, the own failure domain's first. */
  readonly accounts: readonly BorrowerAccount[];
  readonly clock: Clock;
  readonly refreshIntervalMs: number;
}

const NO_WISH: LoanWish = { leastTokens: 0, neededTokens: 0, mostTokens: 0, mayQueue: false };

const wishFor = (
  leastTokens: number,
  neededTokens: number,
  headroom: number,
  mayQueue: boolean,
): LoanWish => ({ leastTokens, neededTokens, mostTokens: neededTokens + headroom, mayQueue });

/** An instance's tokens of one workspace: borrows for its requests, in their order. */
class WorkspaceBudget {
  private queue: Promise<unknown> = Promise.resolve();

  private emptyUntilMs = -Infinity;

  private refreshing = false;

  /** Tokens of the requests whose turn has not come. */
  private queuedTokens = 0;

  private readonly closing = new AbortController();

  private used: { readonly atMs: number; readonly tokens: number }[] = [];

  constructor(private readonly parts: Parts) {}

  /**
   * Reserves tokens, waiting for them up to the deadline. Refused at once where the home has named
   * a time after the deadline, so that a flood does not reach it.
   */
  reserve(tokens: number, deadline: Deadline): Promise<Either<ServeError, Reservation>> {
    const early = this.refuseEarly(deadline);
    if (early !== undefined) return Promise.resolve(Left(early));
    this.queuedTokens += tokens;
    const turn = this.queue.then(() => {
      this.queuedTokens -= tokens;
      return this.reserveInTurn(tokens, deadline);
    });
    this.queue = turn;
    return turn;
  }

  /** Returns everything that is not in use to the homes. Call it once, when no more is reserved. */
  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(
      this.parts.accounts
        .filter((account) => account.active)
        .map((account) => {
          account.giveBack(0);
          return account.sync(NO_WISH);
        }),
    );
  }

  private refuseEarly(deadline: Deadline): ServeError | undefined {
    const waitMs = this.emptyUntilMs - this.parts.clock.nowMs();
    return waitMs > deadline.remainingMs() ? this.overRate(waitMs) : undefined;
  }

  private overRate(waitMs: number): ServeError {
    const message = `workspace ${this.parts.workspace} is over its rate`;
    const retryAfterMs = Number.isFinite(waitMs) ? Math.ceil(waitMs) : undefined;
    return ServeError.notRun(ErrorKind.OverRate, message, retryAfterMs);
  }

  private async reserveInTurn(
    tokens: number,
    deadline: Deadline,
  ): Promise<Either<ServeError, Reservation>> {
    for (;;) {
      const early = this.refuseEarly(deadline);
      if (early !== undefined) return Left(early);
      if (deadline.expired()) return Left(this.expired());
      const answers = await this.gather(tokens);
      if (this.balance() >= tokens) return Right(this.take(tokens));
      const waitMs = this.waitAfter(answers, tokens);
      if (deadline.expired()) {
        return Left(waitMs === undefined ? this.unavailable() : this.overRate(waitMs));
      }
      if (waitMs !== undefined && waitMs > deadline.remainingMs()) {
        this.emptyUntilMs = this.parts.clock.nowMs() + Math.min(waitMs, RETRY_CAP_MS);
        return Left(this.overRate(waitMs));
      }
      const retryMs = Math.max(RETRY_FLOOR_MS, Math.min(waitMs ?? RETRY_CAP_MS, RETRY_CAP_MS));
      await this.parts.clock.sleep(Math.min(retryMs, deadline.remainingMs()));
    }
  }

  private expired(): ServeError {
    const message = `no budget of workspace ${this.parts.workspace} came in time`;
    return ServeError.notRun(ErrorKind.DeadlineExpired, message);
  }

  private unavailable(): ServeError {
    const message = `no budget of workspace ${this.parts.workspace} can be reached`;
    return ServeError.notRun(ErrorKind.BudgetUnavailable, message);
  }

  private balance(): number {
    return sum(this.parts.accounts.map((account) => account.balance()));
  }

  /** Borrows what is missing, from the own domain's home first; answers of the homes asked. */
  private async gather(tokens: number): Promise<BudgetSyncReply[]> {
    const answers: BudgetSyncReply[] = [];
    const [own, ...others] = this.parts.accounts;
    const missing = () => Math.max(0, Math.ceil(tokens - this.balance()));
    if (missing() === 0) return answers;
    const headroom = Math.max(this.recentUse(), this.queuedTokens);
    const first = await own.sync(wishFor(missing(), missing(), headroom, true));
    if (first !== undefined) answers.push(first);
    for (const account of others) {
      if (missing() === 0) return answers;
      const answer = await account.sync(wishFor(1, missing(), headroom, false));
      if (answer !== undefined) answers.push(answer);
    }
    return answers;
  }

  /** The soonest time at which a home expects to help; undefined if none answered. */
  private waitAfter(answers: readonly BudgetSyncReply[], tokens: number): number | undefined {
    if (answers.length === 0) return undefined;
    const soonest = Math.min(...answers.map((answer) => answer.retryAfterMs));
    const missing = tokens - this.balance();
    return missing > 0 ? soonest : 0;
  }

  private take(tokens: number): Reservation {
    this.used.push({ atMs: this.parts.clock.nowMs(), tokens });
    const parts: ReturnType<BorrowerAccount['take']>[] = [];
    let missing = tokens;
    this.parts.accounts.forEach((account) => {
      const part = account.take(missing);
      missing -= part.tokens;
      parts.push(part);
    });
    this.keepRefreshing();
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

  private recentUse(): number {
    const oldestMs = this.parts.clock.nowMs() - USE_MEMORY_MS;
    this.used = this.used.filter((use) => use.atMs >= oldestMs);
    return sum(this.used.map((use) => use.tokens));
  }

  /** Keeps what will soon be used, in the order of the accounts, and returns the rest. */
  private giveBackUnneeded(accounts: readonly BorrowerAccount[]): void {
    let keep = this.recentUse();
    accounts.forEach((account) => {
      account.giveBack(keep);
      keep = Math.max(0, keep - account.balance());
    });
  }

  private keepRefreshing(): void {
    if (this.refreshing) return;
    this.refreshing = true;
    void this.refresh();
  }

  /** Reports to the homes and returns what is not needed, until nothing is held. */
  private async refresh(): Promise<void> {
    const { accounts, clock, refreshIntervalMs: refreshMs } = this.parts;
    const { signal } = this.closing;
    while (!signal.aborted && accounts.some((account) => account.active)) {
      await clock.sleep(refreshMs, signal);
      const active = accounts.filter((account) => account.active);
      this.giveBackUnneeded(active);
      await Promise.all(active.map((account) => account.sync(NO_WISH)));
    }
    this.refreshing = false;
  }
}

export default WorkspaceBudget;
