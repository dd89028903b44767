import { Just, type Maybe, Nothing } from 'purify-ts';
import type {
  BudgetHome,
  BudgetLink,
  BudgetSyncRequest,
  BudgetSyncReply,
} from '@wisteriapath/ledger';
import { callPeer, type PeerClients } from '@wisteriapath/peer';
import type RoleDirectory from './RoleDirectory';
import roleNames from './roleNames';

const CALL_TIMEOUT_MS = 500;

/** Reaches budget homes: calls the one in this process directly, the others by gRPC. */
class GrpcBudgetLink implements BudgetLink {
  constructor(
    private readonly roleDirectory: RoleDirectory,
    private readonly clients: PeerClients,
    private readonly ownHome: () => BudgetHome,
  ) {}

  async sync(failureDomain: string, request: BudgetSyncRequest): Promise<Maybe<BudgetSyncReply>> {
    const holder = this.roleDirectory.holder(roleNames.budgetHome(failureDomain));
    if (holder === undefined) return Nothing;
    if (this.roleDirectory.isSelf(holder)) return Just(this.ownHome().sync(request));
    const client = this.clients.get(holder.address);
    const reply = await callPeer(client.syncBudget.bind(client), request, CALL_TIMEOUT_MS);
    return reply.toMaybe();
  }
}

export default GrpcBudgetLink;
