import { randomUUID } from 'node:crypto';
import type { Clock } from '@wisteriapath/model';
import type BudgetLink from './BudgetLink';
import type BudgetSyncReply from './BudgetSyncReply';
import type LoanWish from './LoanWish';

interface Parts {
  readonly workspace: string;
  readonly failureDomain: string;
  readonly link: BudgetLink;
  readonly clock: Clock;
  /** Time after the last answered call for which loans may be spent. */
  readonly usableMs: number;
}

/** Totals of one session; a reservation settles on the session it was made in. */
interface Session {
  readonly id: string;
  epoch: number;
  lentTotal: number;
  consumedTotal: number;
  returnedTotal: number;
  reserved: number;
  /** Consumed and returned tokens that the home is known to have heard of. */
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

/** What an instance borrowed of one workspace's tokens from the home of one failure domain. */
class BorrowerAccount {
  private session = newSession();

  private confirmedAtMs = -Infinity;

  constructor(private readonly parts: Parts) {}

  get failureDomain(): string {
    return this.parts.failureDomain;
  }

  /** Tokens that may be spent now. */
  balance(): number {
    this.expire();
    const { lentTotal, consumedTotal, returnedTotal, reserved } = this.session;
    return lentTotal - consumedTotal - returnedTotal - reserved;
  }

  /** True while the home counts tokens as held here: it must hear of them within the term. */
  get active(): boolean {
    return this.session.lentTotal > this.session.reportedTotal;
  }

  /** Takes up to `tokens`; the returned function settles on the true count. */
  take(tokens: number): { readonly tokens: number; settle(used: number): void } {
    const taken = Math.max(0, Math.min(tokens, this.balance()));
    const { session } = this;
    session.reserved += taken;
    return {
      tokens: taken,
      settle: (used) => {
        session.reserved -= taken;
        session.consumedTotal += Math.min(used, taken);
      },
    };
  }

  /** Gives back unspent tokens above `keep` at the next call to the home. */
  giveBack(keep: number): void {
    this.session.returnedTotal += Math.max(0, Math.floor(this.balance() - keep));
  }

  /** Calls the home; undefined if it did not answer. */
  async sync(wish: LoanWish): Promise<BudgetSyncReply | undefined> {
    this.expire();
    const { session } = this;
    const startedMs = this.parts.clock.nowMs();
    const reported = session.consumedTotal + session.returnedTotal;
    const reply = await this.parts.link.sync(this.parts.failureDomain, {
      workspace: this.parts.workspace,
      session: session.id,
      epoch: session.epoch,
      consumedTotal: session.consumedTotal,
      returnedTotal: session.returnedTotal,
      ...wish,
    });
    const synced = reply.extract();
    if (synced?.isHome !== true || this.session !== session) return undefined;
    this.absorb(synced, startedMs, reported);
    return synced;
  }

  private absorb(synced: BudgetSyncReply, startedMs: number, reported: number): void {
    const { session } = this;
    if (!synced.sessionKnown) {
      this.session = newSession();
      return;
    }
    session.epoch = synced.epoch;
    session.lentTotal = Math.max(session.lentTotal, synced.lentTotal);
    session.reportedTotal = Math.max(session.reportedTotal, reported);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, startedMs);
  }

  private expire(): void {
    const usable = this.parts.clock.nowMs() - this.confirmedAtMs < this.parts.usableMs;
    if (!usable && this.session.lentTotal > 0) this.session = newSession();
  }
}

export default BorrowerAccount;
