import type RegisteredTarget from './RegisteredTarget';

/** Changes among the targets between two offsets of the platform's store. */
interface TargetUpdate {
  /**
   * Offset at which the update begins; `null` for a full list, which depends on no earlier update.
   */
  readonly from: number | null;
  /** Offset of the first record after the update. */
  readonly to: number;
  /** Targets that were added or changed. */
  readonly targets: readonly RegisteredTarget[];
  /** Ids of removed targets. */
  readonly gone: readonly string[];
}

export default TargetUpdate;
