import { randomUUID } from 'node:crypto';
import type { Clock } from '@wisteriapath/model';
import type BudgetLink from './BudgetLink';
import type BudgetSyncReply from './BudgetSyncReply';
import type LoanRequest from './LoanRequest';

interface Parts {
  readonly workspace: string;
  readonly failureDomain: string;
  readonly link: BudgetLink;
  readonly clock: Clock;
  /** Time after the start of the last answered call for which loans may be spent. */
  readonly usableMs: number;
}

/** The totals of one session. A reservation is settled in the session in which it was made. */
interface Session {
  readonly id: string;
  epoch: number;
  lentTotal: number;
  consumedTotal: number;
  returnedTotal: number;
  reserved: number;
  /** Consumed and returned tokens that the home has acknowledged. */
  reportedTotal: number;
}

const newSession = (): Session => ({
  id: randomUUID(),
  epoch: 0,
  lentTotal: 0,
  consumedTotal: 0,
  returnedTotal: 0,
  reserved: 0,
  reportedTotal: 0,
});

/** The tokens of one workspace that an instance borrowed from the home of one failure domain. */
class BorrowerAccount {
  private session = newSession();

  private confirmedAtMs = -Infinity;

  constructor(private readonly parts: Parts) {}

  get failureDomain(): string {
    return this.parts.failureDomain;
  }

  /** Returns the number of tokens that may be spent now. */
  balance(): number {
    this.discardExpiredSession();
    const { lentTotal, consumedTotal, returnedTotal, reserved } = this.session;
    return lentTotal - consumedTotal - returnedTotal - reserved;
  }

  /** True while the home counts tokens as outstanding; they must be reported within the term. */
  get hasOutstandingTokens(): boolean {
    return this.session.lentTotal > this.session.reportedTotal;
  }

  /** Reserves up to `tokens`. Call `settle` with the number of tokens that were used. */
  reserve(tokens: number): { readonly tokens: number; settle(used: number): void } {
    const granted = Math.max(0, Math.min(tokens, this.balance()));
    const { session } = this;
    session.reserved += granted;
    return {
      tokens: granted,
      settle: (used) => {
        session.reserved -= granted;
        session.consumedTotal += Math.min(used, granted);
      },
    };
  }

  /** Marks unspent tokens above `keep` as returned; the next call reports them to the home. */
  returnSurplus(keep: number): void {
    this.session.returnedTotal += Math.max(0, Math.floor(this.balance() - keep));
  }

  /** Calls the home. Resolves to undefined if no home replies or the session ends meanwhile. */
  async sync(request: LoanRequest): Promise<BudgetSyncReply | undefined> {
    this.discardExpiredSession();
    const { session } = this;
    const startedMs = this.parts.clock.nowMs();
    const reported = session.consumedTotal + session.returnedTotal;
    const response = await this.parts.link.sync(this.parts.failureDomain, {
      workspace: this.parts.workspace,
      session: session.id,
      epoch: session.epoch,
      consumedTotal: session.consumedTotal,
      returnedTotal: session.returnedTotal,
      ...request,
    });
    const reply = response.extract();
    if (reply?.isHome !== true || this.session !== session) return undefined;
    this.applyReply(reply, startedMs, reported);
    return reply;
  }

  private applyReply(reply: BudgetSyncReply, startedMs: number, reported: number): void {
    const { session } = this;
    if (!reply.sessionKnown) {
      this.session = newSession();
      return;
    }
    session.epoch = reply.epoch;
    session.lentTotal = Math.max(session.lentTotal, reply.lentTotal);
    session.reportedTotal = Math.max(session.reportedTotal, reported);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, startedMs);
  }

  private discardExpiredSession(): void {
    const isUsable = this.parts.clock.nowMs() - this.confirmedAtMs < this.parts.usableMs;
    if (!isUsable && this.session.lentTotal > 0) this.session = newSession();
  }
}

export default BorrowerAccount;
