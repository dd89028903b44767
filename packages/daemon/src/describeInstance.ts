import type InstanceComponents from './InstanceComponents';
import type InstanceStatus from './InstanceStatus';

/** Rounds a number; JSON has no infinity, so `null` stands for it. */
const finiteOrNull = (value: number): number | null =>
  Number.isFinite(value) ? Math.round(value) : null;

const describePeers = ({ peerMesh, configReplica }: InstanceComponents): InstanceStatus['peers'] =>
  peerMesh.linked.map((link) => {
    const positions = link.reply?.positions ?? [];
    const config = positions.find((position) => position.stream === configReplica.stream);
    return {
      name: link.address.name,
      failureDomain: link.address.failureDomain,
      configOffset: config?.nextOffset ?? null,
      silentMs: finiteOrNull(link.silentMs()),
    };
  });

const describeRoles = ({ rolesReplica }: InstanceComponents): InstanceStatus['roles'] =>
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

const describeTargets = ({ placer }: InstanceComponents): InstanceStatus['targets'] =>
  placer.targets.map((target) => ({
    name: target.name,
    usable: target.usable,
    window: target.window.current,
    slotsTaken: target.slots.taken(),
    assets: target.memory.all().map(({ asset, phase }) => ({ id: asset.id, phase })),
  }));

/**
 * Returns the status of an instance for operators.
 *
 * @example
 * context.body = describeInstance(components, ready);
 */
const describeInstance = (components: InstanceComponents, ready: boolean): InstanceStatus => ({
  instance: components.self.name,
  failureDomain: components.self.failureDomain,
  incarnation: components.self.incarnation,
  ready,
  configOffset: components.configReplica.nextOffset,
  configAgeMs: finiteOrNull(components.configReplica.ageMs()),
  peers: describePeers(components),
  roles: describeRoles(components),
  targets: describeTargets(components),
});

export default describeInstance;
