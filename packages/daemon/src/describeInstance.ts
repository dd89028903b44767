import type Cradle from './Cradle';
import type InstanceStatus from './InstanceStatus';

const finite = (value: number): number | null =>
  Number.isFinite(value) ? Math.round(value) : null;

const describePeers = ({ mesh, configReplica }: Cradle): InstanceStatus['peers'] =>
  mesh.linked.map((link) => {
    const positions = link.reply?.positions ?? [];
    const config = positions.find((position) => position.stream === configReplica.stream);
    return {
      name: link.address.name,
      failureDomain: link.address.failureDomain,
      configOffset: config?.nextOffset ?? null,
      silentMs: finite(link.silentMs()),
    };
  });

const describeRoles = ({ rolesReplica }: Cradle): InstanceStatus['roles'] =>
  [...rolesReplica.state.tenures.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([role, { holder, epoch, reason, released, unproved }]) => ({
      role,
      holder: holder.name,
      epoch,
      reason,
      released,
      unproved: unproved.map((earlier) => earlier.name),
    }));

const describeTargets = ({ placer }: Cradle): InstanceStatus['targets'] =>
  placer.targets.map((agent) => ({
    name: agent.name,
    usable: agent.usable,
    window: agent.window.current,
    slotsTaken: agent.slots.taken(),
    assets: agent.memory.all().map(({ asset, phase }) => ({ id: asset.id, phase })),
  }));

/**
 * What an instance tells operators.
 *
 * @example
 * context.body = describeInstance(cradle, ready);
 */
const describeInstance = (cradle: Cradle, ready: boolean): InstanceStatus => ({
  instance: cradle.self.name,
  failureDomain: cradle.self.failureDomain,
  incarnation: cradle.self.incarnation,
  ready,
  configOffset: cradle.configReplica.nextOffset,
  configAgeMs: finite(cradle.configReplica.ageMs()),
  peers: describePeers(cradle),
  roles: describeRoles(cradle),
  targets: describeTargets(cradle),
});

export default describeInstance;
