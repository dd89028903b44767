import type Heartbeat from './Heartbeat';
import type MemberRecord from './MemberRecord';

const MEMBER_TEXTS: readonly (keyof MemberRecord)[] = [
  'name',
  'incarnation',
  'failureDomain',
  'host',
];
const INTEGERS: readonly (keyof Heartbeat)[] = [
  'number',
  'operatorOffset',
  'targetsOffset',
  'leaseOffset',
  'counted',
];
/** Present since a later build. */
const OPTIONAL_INTEGERS: readonly (keyof Heartbeat)[] = [
  'operatorEra',
  'operatorReadAgeMs',
  'targetsEra',
  'leaseEra',
];
/** More instances than a fleet can have. */
const MAX_COUNTED = 1_000_000;
const LISTS: readonly (keyof Heartbeat)[] = ['holderHeard', 'placers'];

const isMember = (value: unknown): value is MemberRecord => {
  const member = value as MemberRecord | null | undefined;
  return MEMBER_TEXTS.every((key) => typeof member?.[key] === 'string');
};

const isHeartbeat = (payload: unknown): payload is Heartbeat => {
  const heartbeat = payload as Heartbeat | null | undefined;
  return (
    isMember(heartbeat?.member) &&
    INTEGERS.every((key) => Number.isSafeInteger(heartbeat?.[key])) &&
    OPTIONAL_INTEGERS.every((key) => Number.isSafeInteger(heartbeat[key] ?? 0)) &&
    (heartbeat.operatorReadAgeMs ?? 0) >= 0 &&
    heartbeat.counted >= 0 &&
    heartbeat.counted <= MAX_COUNTED &&
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
