import type { KeyedRecord, RecordSpan } from '../../src';
import contentOf from './contentOf';

const record = (key: string, offset: number, text: string): KeyedRecord => ({
  key,
  offset,
  value: Buffer.from(text),
  ageMs: 0,
  settlesInMs: 0,
});

const span = (from: number | null, to: number, records: readonly KeyedRecord[]): RecordSpan => ({
  from,
  to,
  records,
  hasEveryRecord: from !== null,
  settlesInMs: 0,
});

/** A topic of the store: what was written to it, in order. */
class FakeTopic {
  readonly log: KeyedRecord[] = [];

  write(key: string, text: string): void {
    this.log.push(record(key, this.log.length, text));
  }

  list(): RecordSpan {
    const newest = new Map(this.log.map((written) => [written.key, written]));
    const live = [...newest.values()].filter(({ value }) => value.length > 0);
    return span(null, this.log.length, live);
  }

  read(from: number): RecordSpan {
    return span(from, this.log.length, this.log.slice(from));
  }

  get content(): readonly string[] {
    return contentOf(this.list());
  }
}

export default FakeTopic;
