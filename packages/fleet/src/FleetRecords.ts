import type QuarantineRecord from './QuarantineRecord';
import type MemberRecord from './MemberRecord';

/** What the instances keep in the store about themselves. */
interface FleetRecords {
  readonly members: readonly MemberRecord[];
  readonly quarantines: readonly QuarantineRecord[];
}

export default FleetRecords;
