import HeartbeatKind from './HeartbeatKind';
import type MemberRecord from './MemberRecord';
import MESH_INSTANCES from './meshInstances';

interface Peer {
  readonly member: MemberRecord;
}

interface Situation {
  readonly failureDomain: string;
  /** Whether this instance gives orders. */
  readonly isPlacer: boolean;
  /** All peers, whether heard lately or not. */
  readonly peers: readonly Peer[];
  /** Instances in the system, as far as known. */
  readonly instances: number;
  /** The peer to which this instance reports its use; undefined if none is heard. */
  readonly hub: MemberRecord | undefined;
  /** The peers that give orders. */
  readonly placers: readonly MemberRecord[];
  /** Increases by one with each beat. */
  readonly number: number;
}

interface Recipient {
  readonly member: MemberRecord;
  readonly kind: HeartbeatKind;
}

/** Beats of a placer of which one goes to other failure domains. */
const FAR_EVERY = 2;
/** Beats of another instance of which one goes to the placers of other failure domains. */
const FAR_PRESENCE_EVERY = 5;
/** Peers of the own failure domain that one beat goes to, in turn. */
const NEAR_AT_ONCE = 4;

const toAll = ({ peers }: Situation): Recipient[] =>
  peers.map(({ member }) => ({ member, kind: HeartbeatKind.Own }));

const fromPlacer = ({ peers, failureDomain, number }: Situation): Recipient[] =>
  peers
    .filter(({ member }) => member.failureDomain === failureDomain || number % FAR_EVERY === 0)
    .map(({ member }) => ({ member, kind: HeartbeatKind.Pooled }));

const fromOther = ({ peers, failureDomain, hub, placers, number }: Situation): Recipient[] => {
  const near = peers.filter(({ member }) => member.failureDomain === failureDomain);
  const first = (number * NEAR_AT_ONCE) % Math.max(1, near.length);
  const inTurn = [...near, ...near].slice(first, first + Math.min(NEAR_AT_ONCE, near.length));
  const shown = [
    ...inTurn.map(({ member }) => member),
    ...(number % FAR_PRESENCE_EVERY === 0 ? placers : []),
  ].filter(({ name }) => name !== hub?.name);
  const presence = [...new Set(shown)].map((member) => ({ member, kind: HeartbeatKind.Presence }));
  return hub === undefined ? presence : [{ member: hub, kind: HeartbeatKind.Own }, ...presence];
};

/**
 * To whom one beat goes, and what it tells them. Few instances tell each other everything. With many, those
 * that give orders gather what the others report and tell it to all, so that the work of the others does
 * not grow with the number of instances.
 *
 * @example
 * beatRecipients({ ...situation, instances: 7 }); // every peer
 */
const beatRecipients = (situation: Situation): readonly Recipient[] => {
  if (situation.instances <= MESH_INSTANCES) return toAll(situation);
  return situation.isPlacer ? fromPlacer(situation) : fromOther(situation);
};

export default beatRecipients;
