import type SlotLeaseReply from './SlotLeaseReply';
import type SlotLeaseRequest from './SlotLeaseRequest';
import type Asset from './Asset';
import type TargetAgent from './TargetAgent';

/**
 * Leases slots of the serving targets to an instance: first of targets that the instance already
 * uses, then of those with the most free slots.
 *
 * @example
 * const grants = grantSlots(request, assetsOf(route), serving);
 */
const grantSlots = (
  request: SlotLeaseRequest,
  assets: readonly Asset[],
  serving: readonly TargetAgent[],
): SlotLeaseReply['grants'] => {
  const holder = `${request.instance} ${request.route}`;
  const assetIds = assets.map((asset) => asset.id);
  const uses = new Map(request.uses.map((use) => [use.target, use]));
  const free = (agent: TargetAgent) => agent.window.current - agent.slots.taken();
  const used = serving.filter((agent) => uses.has(agent.name));
  const unused = serving.filter((agent) => !uses.has(agent.name));
  const ordered = [...used, ...unused.sort((a, b) => free(b) - free(a))];
  const windowTotal = serving.reduce((sum, agent) => sum + agent.window.current, 0);
  const demandPart = (agent: TargetAgent) =>
    request.demand.map((demand) => ({
      ...demand,
      slots: (demand.slots * agent.window.current) / windowTotal,
    }));
  let wanted = request.wantSlots;
  const grants = ordered.map((agent) => {
    const { heldSlots = 0, inflight = 0 } = uses.get(agent.name) ?? {};
    const leaseRequest = {
      holder,
      wantSlots: wanted,
      demand: demandPart(agent),
      inflight,
      heldSlots,
      assetIds,
    };
    const slots = agent.slots.grant(leaseRequest, agent.window.current);
    wanted -= slots;
    return { target: agent.name, url: agent.target.url, slots };
  });
  return grants.filter((grant) => grant.slots > 0 || uses.has(grant.target));
};

export default grantSlots;
