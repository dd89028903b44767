import type MemberRecord from './MemberRecord';

/** A port to the store through which instances discover each other. Its calls never reject. */
interface MemberStore {
  /** Stores the record of this instance. Returns whether it was stored. */
  announce(member: MemberRecord): Promise<boolean>;
  /** Lists all known instances; `undefined` if the store does not answer. */
  list(): Promise<readonly MemberRecord[] | undefined>;
}

export default MemberStore;
