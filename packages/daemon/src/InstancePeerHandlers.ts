import type { BudgetHome } from '@wisteriapath/ledger';
import type { messages, PeerHandlers, PeerIdentity, RelayedStreams } from '@wisteriapath/peer';
import type { Placer } from '@wisteriapath/placement';
import type { PoisonRegistry } from '@wisteriapath/routing';

interface Parts {
  readonly identity: PeerIdentity;
  readonly relayedStreams: RelayedStreams;
  readonly budgetHome: BudgetHome;
  readonly placer: Placer;
  readonly poisonRegistry: PoisonRegistry;
}

/** The handlers for the gRPC calls of peers. */
class InstancePeerHandlers implements PeerHandlers {
  constructor(private readonly parts: Parts) {}

  async hello(request: messages.HelloRequest): Promise<messages.HelloReply> {
    const { identity, relayedStreams } = this.parts;
    const newer = relayedStreams.updatesAfter(request.positions);
    return { ...identity, positions: relayedStreams.positions(), newer };
  }

  async syncBudget(request: messages.SyncBudgetRequest): Promise<messages.SyncBudgetReply> {
    return this.parts.budgetHome.sync(request);
  }

  async acquire(request: messages.AcquireRequest): Promise<messages.AcquireReply> {
    const reply = await this.parts.placer.acquire(request);
    return { ...reply, grants: [...reply.grants], refusal: reply.refusal ?? '' };
  }

  async shareSuspects(
    request: messages.ShareSuspectsRequest,
  ): Promise<messages.ShareSuspectsReply> {
    this.parts.poisonRegistry.merge(request.suspects);
    return {};
  }
}

export default InstancePeerHandlers;
