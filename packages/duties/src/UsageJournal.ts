import type { LeaseAppend, StorePosition, UsageReport } from '@wisteriapath/fleet';

/** From which window on decisions are complete in an era of the store. */
interface EraMark {
  readonly era: number;
  readonly firstWindow: number;
}

interface StoredDecision extends UsageReport {
  /** Era of the position at which its writer meant to append it; see `LeaseRecord`. */
  readonly writtenInEra: number;
}

/** What the store keeps of decided windows. */
interface JournalState {
  readonly era: number;
  /** When this process first saw that era, on the monotonic clock: the store has not come back from a copy since. */
  readonly eraSinceMs: number;
  readonly mark: EraMark | null;
  readonly decisions: readonly StoredDecision[];
}

/** A port to the decisions that are kept beside the lease of the duty. Its calls never reject. */
interface UsageJournal {
  /** Returns what the store keeps; `undefined` if it does not answer. */
  read(): Promise<JournalState | undefined>;
  /** Appends a decision if the offset of `at` is still the next one. */
  appendDecision(at: StorePosition, decision: UsageReport): Promise<LeaseAppend | undefined>;
  /** Appends a mark if the offset of `at` is still the next one. */
  appendMark(at: StorePosition, mark: EraMark): Promise<LeaseAppend | undefined>;
}

export default UsageJournal;
