import type { KeyedRecord, RecordSpan, StorePosition } from '../../src';
import contentOf from './contentOf';

interface Written {
  readonly key: string;
  readonly text: string;
}

/** A topic of the store: what was written to it, in order. */
class FakeTopic {
  private log: readonly Written[] = [];

  private era = 1;

  write(key: string, text: string): void {
    this.log = [...this.log, { key, text }];
  }

  /** Loses the last records, as if the store came back from a copy that lacks them. */
  comeBack(lost: number): void {
    this.log = this.log.slice(0, Math.max(0, this.log.length - lost));
    this.era += 1;
  }

  list(): RecordSpan {
    const newest = new Map(this.records.map((written) => [written.key, written]));
    const live = [...newest.values()].filter(({ value }) => value.length > 0);
    return this.span(null, live);
  }

  /** Reads from a position on; a list of all keys if the store does not have it. */
  read(from: StorePosition | undefined): RecordSpan {
    if (from === undefined || from.era !== this.era) return this.list();
    return this.span(from, this.records.slice(from.offset));
  }

  get content(): readonly string[] {
    return contentOf(this.list());
  }

  private get records(): readonly KeyedRecord[] {
    return this.log.map(({ key, text }, offset) => ({
      key,
      position: { era: this.era, offset },
      value: Buffer.from(text),
      ageMs: 0,
      settlesInMs: 0,
    }));
  }

  private span(from: StorePosition | null, records: readonly KeyedRecord[]): RecordSpan {
    const to = { era: this.era, offset: this.log.length };
    return { from, to, records, hasEveryRecord: from !== null, settlesInMs: 0 };
  }
}

export default FakeTopic;
