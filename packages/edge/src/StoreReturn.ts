import type { Clock } from '@wisteriapath/model';
import type { RegisteredTarget } from '@wisteriapath/fleet';

/** A life of a target, and the number of its last entry known from it. */
type LastEntry = Pick<RegisteredTarget, 'bornMs' | 'entryNumber'>;

/** Removed targets of which the last entry is remembered. */
const MAX_REMOVED = 2_000;

/**
 * The time after the store came back from an older copy. What the operator and the targets wrote since then is missing
 * until they have written it again, and what the copy holds of a target may be older than what is known of it.
 */
class StoreReturn {
  private endsAtMs = -Infinity;

  private readonly removed = new Map<string, LastEntry>();

  constructor(
    private readonly clock: Clock,
    /** Time after a return of the store within which all live targets have registered again. */
    private readonly recoveryMs: () => number,
  ) {}

  /** Time until all live targets have registered again; 0 if the store did not come back lately. */
  get leftMs(): number {
    return Math.max(0, this.endsAtMs - this.clock.nowMs());
  }

  /** Notes that a newer era of the store was seen. */
  begin(): void {
    this.endsAtMs = this.clock.nowMs() + this.recoveryMs();
  }

  /** Notes the last entry of a target that was removed. */
  recordRemoval({ id, bornMs, entryNumber }: RegisteredTarget): void {
    this.removed.delete(id);
    this.removed.set(id, { bornMs, entryNumber });
    const [oldest] = this.removed.keys();
    if (this.removed.size > MAX_REMOVED) this.removed.delete(oldest);
  }

  /**
   * Whether an entry was written before the return: it is older than the known one, or of a life of a target that was
   * removed. Of such a life an entry with a new number still counts, unless it is from a list of all keys (`isListed`),
   * which holds what the copy held: instances that learn of changes from others do not know the last number.
   */
  isOutdated(
    { id, bornMs, entryNumber }: RegisteredTarget,
    known: LastEntry | undefined,
    isListed: boolean,
  ): boolean {
    if (this.leftMs === 0) return false;
    const last = known ?? this.removed.get(id);
    if (last === undefined || bornMs > last.bornMs) return false;
    if (bornMs < last.bornMs) return true;
    if (known !== undefined) return entryNumber < known.entryNumber;
    return isListed || entryNumber <= last.entryNumber;
  }
}

export default StoreReturn;
