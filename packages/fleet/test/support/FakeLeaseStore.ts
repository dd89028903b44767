import type { LeaseContent, LeaseRecord, LeaseStore, StorePosition } from '../../src';

/** What becomes of the calls of one machine. */
interface Faults {
  /** Whether no call is carried out or answered. */
  isUnreachable: boolean;
  /** Whether appends are carried out and their answers lost. */
  losesAppendAnswers: boolean;
  /** Whether appends are under way and not answered, until `carryOutHeld`. */
  holdsAppends: boolean;
}

/** A store with conditional appends that can come back from an older copy. */
class FakeLeaseStore {
  private records: LeaseRecord[] = [];

  private held: { readonly at: StorePosition; readonly content: LeaseContent }[] = [];

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

  /** Carries out the appends that were held, in the order in which they were sent. */
  carryOutHeld(): void {
    this.held.splice(0).forEach(({ at, content }) => this.append(at, content));
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
        if (faults.holdsAppends) {
          this.held.push({ at, content });
          return Promise.resolve(undefined);
        }
        const isAppended = this.append(at, content);
        return Promise.resolve(
          faults.losesAppendAnswers ? undefined : { isAppended, era: this.era },
        );
      },
    };
  }
}

export default FakeLeaseStore;
