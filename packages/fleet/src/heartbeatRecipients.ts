import HeartbeatKind from './HeartbeatKind';
import type MemberRecord from './MemberRecord';
import FULL_MESH_MAX_INSTANCES from './fullMeshMaxInstances';

interface Peer {
  readonly member: MemberRecord;
}

/** The state of the system from which the recipients of a heartbeat follow. */
interface HeartbeatContext {
  readonly failureDomain: string;
  /** Whether this instance holds the lease to give orders. */
  readonly isPlacer: boolean;
  /** All known peers, including those without a recent heartbeat. */
  readonly peers: readonly Peer[];
  /** Number of instances in the system, as far as known. */
  readonly instances: number;
  /** The peer to which this instance reports its usage; undefined if no placer is live. */
  readonly usageAggregator: MemberRecord | undefined;
  /** The peers that hold a lease. */
  readonly placers: readonly MemberRecord[];
  /** Increases by one with each heartbeat. */
  readonly heartbeatNumber: number;
  /** Peers that are to be told in any case that this instance is alive; none by default. */
  readonly others?: readonly Peer[];
}

interface Recipient {
  readonly member: MemberRecord;
  readonly kind: HeartbeatKind;
}

/** A placer sends one in this many heartbeats to other failure domains. */
const CROSS_DOMAIN_HEARTBEAT_PERIOD = 2;
/** Any other instance sends one in this many heartbeats to the placers of other failure domains. */
const CROSS_DOMAIN_PRESENCE_PERIOD = 5;
/**
 * Number of peers of its own failure domain to which an instance sends one heartbeat, in round-
 * robin order.
 */
const SAME_DOMAIN_FANOUT = 4;

const fullMesh = ({ peers }: HeartbeatContext): Recipient[] =>
  peers.map(({ member }) => ({ member, kind: HeartbeatKind.Own }));

const fromPlacer = ({ peers, failureDomain, heartbeatNumber }: HeartbeatContext): Recipient[] =>
  peers
    .filter(
      ({ member }) =>
        member.failureDomain === failureDomain ||
        heartbeatNumber % CROSS_DOMAIN_HEARTBEAT_PERIOD === 0,
    )
    .map(({ member }) => ({ member, kind: HeartbeatKind.Pooled }));

const fromNonPlacer = ({
  peers,
  failureDomain,
  usageAggregator,
  placers,
  heartbeatNumber,
}: HeartbeatContext): Recipient[] => {
  const sameDomain = peers.filter(({ member }) => member.failureDomain === failureDomain);
  const first = (heartbeatNumber * SAME_DOMAIN_FANOUT) % Math.max(1, sameDomain.length);
  const roundRobin = [...sameDomain, ...sameDomain].slice(
    first,
    first + Math.min(SAME_DOMAIN_FANOUT, sameDomain.length),
  );
  const presenceRecipients = [
    ...roundRobin.map(({ member }) => member),
    ...(heartbeatNumber % CROSS_DOMAIN_PRESENCE_PERIOD === 0 ? placers : []),
  ].filter(({ name }) => name !== usageAggregator?.name);
  const presence = [...new Set(presenceRecipients)].map((member) => ({
    member,
    kind: HeartbeatKind.Presence,
  }));
  return usageAggregator === undefined
    ? presence
    : [{ member: usageAggregator, kind: HeartbeatKind.Own }, ...presence];
};

const inTurn = (context: HeartbeatContext): readonly Recipient[] => {
  if (context.instances <= FULL_MESH_MAX_INSTANCES) return fullMesh(context);
  return context.isPlacer ? fromPlacer(context) : fromNonPlacer(context);
};

/**
 * Returns the recipients of one heartbeat and what it reports to each. Up to
 * `FULL_MESH_MAX_INSTANCES` instances, each reports its own usage to every other. Beyond that, the
 * placers aggregate the usage that the others report and send it to all, so that the work of the
 * others does not grow with the number of instances.
 *
 * @example
 * heartbeatRecipients({ ...context, instances: 7 }); // every peer
 */
const heartbeatRecipients = (context: HeartbeatContext): readonly Recipient[] => {
  const recipients = inTurn(context);
  const reached = new Set(recipients.map(({ member }) => member.name));
  const missed = (context.others ?? []).filter(({ member }) => !reached.has(member.name));
  return [...recipients, ...missed.map(({ member }) => ({ member, kind: HeartbeatKind.Presence }))];
};

export default heartbeatRecipients;
