import type ExpectedPace from './ExpectedPace';

/** What an instance knows of a target when it weighs it for a request. */
interface TargetState {
  readonly pace: ExpectedPace;
  readonly slots: number;
  /** Fraction of the slots in use; above 1 if requests wait. */
  readonly utilization: number;
  /** Penalty for recent failures; 3 if every request fails. */
  readonly failureCost: number;
  readonly isCold: boolean;
  readonly isOtherDomain: boolean;
  /** Time until the request must be answered. */
  readonly leftMs: number;
}

export default TargetState;
