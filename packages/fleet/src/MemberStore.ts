import type QuarantineRecord from './QuarantineRecord';
import type FleetRecords from './FleetRecords';
import type MemberRecord from './MemberRecord';

/**
 * A port to the store through which instances discover each other, and in which they keep what must outlive all of
 * them. Its calls never reject.
 */
interface MemberStore {
  /** Stores the record of this instance. Returns whether it was stored. */
  announce(member: MemberRecord): Promise<boolean>;
  /** Stores a quarantine, or removes it if it has no crashes. Returns whether that was done. */
  saveQuarantine(quarantine: QuarantineRecord): Promise<boolean>;
  /** Lists all known instances and quarantines; `undefined` if the store does not answer. */
  list(): Promise<FleetRecords | undefined>;
}

export default MemberStore;
