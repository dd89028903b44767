import type ConvictionRecord from './ConvictionRecord';
import type MemberRecord from './MemberRecord';

/** What the instances keep in the store about themselves. */
interface FleetRecords {
  readonly members: readonly MemberRecord[];
  readonly convictions: readonly ConvictionRecord[];
}

export default FleetRecords;
