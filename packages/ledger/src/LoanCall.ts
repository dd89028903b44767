import { type Clock, wakeUp } from '@wisteriapath/model';
import type BorrowerAccount from './BorrowerAccount';
import type BudgetSyncReply from './BudgetSyncReply';
import type LoanRequest from './LoanRequest';

interface Parts {
  readonly account: BorrowerAccount;
  readonly clock: Clock;
  /** Called after each call, also after those for which nobody waits any more. */
  readonly onEnded: () => void;
}

/**
 * Asks one home for loans, with one call at a time. A call goes on after its waiters have stopped to
 * wait, so that the tokens which it brings are counted.
 */
class LoanCall {
  private underWay: Promise<BudgetSyncReply | undefined> | undefined;

  private startedAtMs = -Infinity;

  private wasAnswered = true;

  constructor(private readonly parts: Parts) {}

  /** False if the last call that ended was not answered. */
  get isReachable(): boolean {
    return this.wasAnswered;
  }

  /** True while a call has not ended. */
  get isUnderWay(): boolean {
    return this.underWay !== undefined;
  }

  /**
   * Joins the call that is under way, or begins one with `request`. Waits until `patienceMs` after the
   * start of the call; resolves to undefined if the home has not answered by then.
   *
   * @example
   * const reply = await ownHome.ask(request, 100);
   */
  async ask(request: LoanRequest, patienceMs: number): Promise<BudgetSyncReply | undefined> {
    this.underWay ??= this.call(request);
    return this.wait(this.startedAtMs + patienceMs - this.parts.clock.nowMs());
  }

  /** Resolves once no call is under way. */
  async ended(): Promise<void> {
    await this.underWay;
  }

  private async wait(durationMs: number): Promise<BudgetSyncReply | undefined> {
    if (durationMs <= 0) return undefined;
    const answered = new AbortController();
    const timeout = this.parts.clock.sleep(durationMs, answered.signal).then(() => undefined);
    const reply = await Promise.race([this.underWay, timeout]);
    wakeUp(answered);
    return reply;
  }

  private async call(request: LoanRequest): Promise<BudgetSyncReply | undefined> {
    this.startedAtMs = this.parts.clock.nowMs();
    const reply = await this.parts.account.sync(request);
    this.underWay = undefined;
    this.wasAnswered = reply !== undefined;
    this.parts.onEnded();
    return reply;
  }
}

export default LoanCall;
