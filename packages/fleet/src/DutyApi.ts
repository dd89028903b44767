import type CapacityOrder from './CapacityOrder';
import type DutyAnswer from './DutyAnswer';
import type DutyAuthority from './DutyAuthority';
import type UsageReport from './UsageReport';

/** A port to the platform's interface for duties. Its calls never reject, and end within a time limit of their own. */
interface DutyApi {
  /** Reports the usage of a window. An exact repeat has no further effect. */
  reportUsage(authority: DutyAuthority, report: UsageReport): Promise<DutyAnswer>;
  /** Orders the number of instances of a service in a failure domain. */
  orderCapacity(authority: DutyAuthority, order: CapacityOrder): Promise<DutyAnswer>;
}

export default DutyApi;
