import type Heartbeat from './Heartbeat';
import type MemberRecord from './MemberRecord';

const MEMBER_TEXTS: readonly (keyof MemberRecord)[] = [
  'name',
  'incarnation',
  'failureDomain',
  'host',
];
const NUMBERS: readonly (keyof Heartbeat)[] = ['number', 'leaseOffset', 'counted'];
const LISTS: readonly (keyof Heartbeat)[] = ['holderHeard', 'placers'];

const isMember = (value: unknown): value is MemberRecord => {
  const member = value as MemberRecord | null | undefined;
  return MEMBER_TEXTS.every((key) => typeof member?.[key] === 'string');
};

const isHeartbeat = (payload: unknown): payload is Heartbeat => {
  const heartbeat = payload as Heartbeat | null | undefined;
  return (
    isMember(heartbeat?.member) &&
    NUMBERS.every((key) => Number.isFinite(heartbeat?.[key])) &&
    LISTS.every((key) => Array.isArray(heartbeat?.[key])) &&
    heartbeat.placers.every(isMember)
  );
};

/**
 * Returns a payload as a heartbeat. Throws if it lacks what this instance goes on working with: its sender would stay among the
 * peers, and each later heartbeat to them, or share of a limit, would fail.
 *
 * @example
 * const { member } = readHeartbeat(payload);
 */
const readHeartbeat = (payload: unknown): Heartbeat => {
  if (!isHeartbeat(payload)) throw new Error('not a heartbeat');
  return payload;
};

export default readHeartbeat;
