import type { BudgetHome } from '@wisteriapath/ledger';
import type { messages, PeerHandlers, PeerIdentity, StreamSet } from '@wisteriapath/peer';
import type { Placer } from '@wisteriapath/placement';
import type { PoisonRegistry } from '@wisteriapath/routing';

interface Parts {
  readonly identity: PeerIdentity;
  readonly streams: StreamSet;
  readonly home: BudgetHome;
  readonly placer: Placer;
  readonly poison: PoisonRegistry;
}

/** What an instance does for its peers. */
class InstancePeerHandlers implements PeerHandlers {
  constructor(private readonly parts: Parts) {}

  async hello(request: messages.HelloRequest): Promise<messages.HelloReply> {
    const { identity, streams } = this.parts;
    const newer = streams.newerThan(request.positions);
    return { ...identity, positions: streams.positions(), newer };
  }

  async syncBudget(request: messages.SyncBudgetRequest): Promise<messages.SyncBudgetReply> {
    return this.parts.home.sync(request);
  }

  async acquire(request: messages.AcquireRequest): Promise<messages.AcquireReply> {
    const answer = await this.parts.placer.acquire(request);
    return { ...answer, grants: [...answer.grants], refusal: answer.refusal ?? '' };
  }

  async shareSuspects(
    request: messages.ShareSuspectsRequest,
  ): Promise<messages.ShareSuspectsReply> {
    this.parts.poison.merge(request.suspects);
    return {};
  }
}

export default InstancePeerHandlers;
