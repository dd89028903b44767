import type { LeaseContent, LeaseRecord, LeaseStore, StorePosition } from '../../src';

/** What becomes of the calls of one machine. */
interface Faults {
  /** Whether no call is carried out or answered. */
  isUnreachable: boolean;
  /** Whether appends are carried out and their answers lost. */
  losesAppendAnswers: boolean;
}

/** A store with conditional appends that can come back from an older copy. */
class FakeLeaseStore {
  private records: LeaseRecord[] = [];

  /** Rises with each return. */
  era = 0;

  /** Number of records. */
  get length(): number {
    return this.records.length;
  }

  /** Keeps the first records only, as a copy of that age. */
  returnTo(length: number): void {
    this.records = this.records.slice(0, length);
    this.era += 1;
  }

  /** Appends whatever its era, as the store does not know what the caller has seen. */
  append(at: StorePosition, content: LeaseContent): boolean {
    if (at.offset !== this.records.length) return false;
    this.records.push({ ...content, offset: at.offset, writtenInEra: at.era });
    return true;
  }

  port(faults: Faults): LeaseStore {
    const newest = () => ({
      era: this.era,
      record: this.records.at(-1) ?? null,
      nextOffset: this.records.length,
    });
    return {
      newest: () => Promise.resolve(faults.isUnreachable ? undefined : newest()),
      append: (at, content) => {
        if (faults.isUnreachable) return Promise.resolve(undefined);
        const isAppended = this.append(at, content);
        return Promise.resolve(
          faults.losesAppendAnswers ? undefined : { isAppended, era: this.era },
        );
      },
    };
  }
}

export default FakeLeaseStore;
