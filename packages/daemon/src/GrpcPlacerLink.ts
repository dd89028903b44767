import { Just, type Maybe, Nothing } from 'purify-ts';
import type { ErrorKind } from '@wisteriapath/model';
import { callPeer, type messages, type PeerClients } from '@wisteriapath/peer';
import type { SlotLeaseReply, SlotLeaseRequest, Placer, PlacerLink } from '@wisteriapath/placement';
import type RoleDirectory from './RoleDirectory';
import roleNames from './roleNames';

const CALL_TIMEOUT_MS = 1_000;

const toAnswer = (reply: messages.AcquireReply): SlotLeaseReply => ({
  isPlacer: reply.isPlacer,
  grants: reply.grants,
  refusal: reply.refusal === '' ? null : (reply.refusal as ErrorKind),
  expectedReadyMs: reply.expectedReadyMs,
  mayOverflow: reply.mayOverflow,
});

/** Reaches placers: this process's own directly, the others by gRPC. */
class GrpcPlacerLink implements PlacerLink {
  constructor(
    private readonly roles: RoleDirectory,
    private readonly clients: PeerClients,
    private readonly ownPlacer: () => Placer,
  ) {}

  async acquire(failureDomain: string, ask: SlotLeaseRequest): Promise<Maybe<SlotLeaseReply>> {
    const holder = this.roles.holder(roleNames.placer(failureDomain));
    if (holder === undefined) return Nothing;
    if (this.roles.isSelf(holder)) return Just(await this.ownPlacer().acquire(ask));
    const client = this.clients.get(holder.address);
    const request = { ...ask, uses: [...ask.uses], demand: [...ask.demand] };
    const reply = await callPeer(client.acquire.bind(client), request, CALL_TIMEOUT_MS);
    return reply.map(toAnswer).toMaybe();
  }
}

export default GrpcPlacerLink;
