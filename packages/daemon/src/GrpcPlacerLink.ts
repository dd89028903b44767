import { Just, type Maybe, Nothing } from 'purify-ts';
import type { ErrorKind } from '@wisteriapath/model';
import { callPeer, type messages, type PeerClients } from '@wisteriapath/peer';
import type { SlotLeaseReply, SlotLeaseRequest, Placer, PlacerLink } from '@wisteriapath/placement';
import type RoleDirectory from './RoleDirectory';
import roleNames from './roleNames';

const CALL_TIMEOUT_MS = 1_000;

const toSlotLeaseReply = (reply: messages.AcquireReply): SlotLeaseReply => ({
  isPlacer: reply.isPlacer,
  grants: reply.grants,
  refusal: reply.refusal === '' ? null : (reply.refusal as ErrorKind),
  expectedReadyMs: reply.expectedReadyMs,
  mayOverflow: reply.mayOverflow,
});

/** Reaches placers: calls the one in this process directly, the others by gRPC. */
class GrpcPlacerLink implements PlacerLink {
  constructor(
    private readonly roleDirectory: RoleDirectory,
    private readonly clients: PeerClients,
    private readonly ownPlacer: () => Placer,
  ) {}

  async acquire(failureDomain: string, request: SlotLeaseRequest): Promise<Maybe<SlotLeaseReply>> {
    const holder = this.roleDirectory.holder(roleNames.placer(failureDomain));
    if (holder === undefined) return Nothing;
    if (this.roleDirectory.isSelf(holder)) return Just(await this.ownPlacer().acquire(request));
    const client = this.clients.get(holder.address);
    const message = { ...request, uses: [...request.uses], demand: [...request.demand] };
    const reply = await callPeer(client.acquire.bind(client), message, CALL_TIMEOUT_MS);
    return reply.map(toSlotLeaseReply).toMaybe();
  }
}

export default GrpcPlacerLink;
