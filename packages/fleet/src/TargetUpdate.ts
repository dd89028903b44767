import type RegisteredTarget from './RegisteredTarget';

/** What changed among the targets between two offsets of the platform's store. */
interface TargetUpdate {
  /** `null` for a full list that needs nothing before it. */
  readonly from: number | null;
  /** Offset of the next record. */
  readonly to: number;
  readonly targets: readonly RegisteredTarget[];
  /** Ids of targets that are gone. */
  readonly gone: readonly string[];
}

export default TargetUpdate;
