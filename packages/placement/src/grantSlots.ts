import type SlotLeaseReply from './SlotLeaseReply';
import type SlotLeaseRequest from './SlotLeaseRequest';
import type Asset from './Asset';
import type TargetAgent from './TargetAgent';

/**
 * Leases slots of the serving targets to an instance: where it is already, then where most is free.
 *
 * @example
 * const grants = grantSlots(ask, assetsOf(route), serving);
 */
const grantSlots = (
  ask: SlotLeaseRequest,
  assets: readonly Asset[],
  serving: readonly TargetAgent[],
): SlotLeaseReply['grants'] => {
  const holder = `${ask.instance} ${ask.route}`;
  const assetIds = assets.map((asset) => asset.id);
  const uses = new Map(ask.uses.map((use) => [use.target, use]));
  const free = (agent: TargetAgent) => agent.window.current - agent.slots.taken();
  const used = serving.filter((agent) => uses.has(agent.name));
  const unused = serving.filter((agent) => !uses.has(agent.name));
  const order = [...used, ...unused.sort((a, b) => free(b) - free(a))];
  const windows = serving.reduce((sum, agent) => sum + agent.window.current, 0);
  const partOf = (agent: TargetAgent) =>
    ask.demand.map((demand) => ({
      ...demand,
      slots: (demand.slots * agent.window.current) / windows,
    }));
  let wanted = ask.wantSlots;
  const grants = order.map((agent) => {
    const { heldSlots = 0, inflight = 0 } = uses.get(agent.name) ?? {};
    const slotAsk = { holder, wantSlots: wanted, demand: partOf(agent), inflight, heldSlots, assetIds };
    const slots = agent.slots.grant(slotAsk, agent.window.current);
    wanted -= slots;
    return { target: agent.name, url: agent.target.url, slots };
  });
  return grants.filter((grant) => grant.slots > 0 || uses.has(grant.target));
};

export default grantSlots;
