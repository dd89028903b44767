import type { RecordSpan } from '../../src';

/** Returns the keys of a span that are not deleted, with their values. */
const contentOf = ({ records }: RecordSpan): readonly string[] =>
  records
    .filter(({ value }) => value.length > 0)
    .map(({ key, value }) => `${key}=${Buffer.from(value).toString()}`)
    .sort();

export default contentOf;
