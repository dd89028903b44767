import { decode, encode } from '@msgpack/msgpack';
import type KeyedRecord from './KeyedRecord';
import type RecordSpan from './RecordSpan';

type PackedRecord = readonly [string, number, Uint8Array, number, number];

/** The era is that of all offsets; instances of an earlier build leave it out. */
type PackedSpan = readonly [number | null, number, number, readonly PackedRecord[], number?];

/** Offset of the deletion of a key that a list of an empty topic lacks. */
const BEFORE_FIRST_OFFSET = -1;

const packRecord = ({ key, position, value, ageMs, settlesInMs }: KeyedRecord): PackedRecord => [
  key,
  position.offset,
  value,
  Math.round(ageMs),
  Math.ceil(settlesInMs),
];

const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

const unpackRecord = (packed: PackedRecord, era: number): KeyedRecord => {
  const [key, offset, value, ageMs, settlesInMs] = packed;
  const isValid =
    typeof key === 'string' &&
    value instanceof Uint8Array &&
    (isCount(offset) || offset === BEFORE_FIRST_OFFSET) &&
    [ageMs, settlesInMs].every(isCount);
  if (!isValid) throw new TypeError('a record of a span is not valid');
  return { key, position: { era, offset }, value, ageMs, settlesInMs };
};

const encodeSpan = ({ from, to, settlesInMs, records }: RecordSpan): Uint8Array => {
  const packed: PackedSpan = [
    from?.offset ?? null,
    to.offset,
    Math.ceil(settlesInMs),
    records.map(packRecord),
    to.era,
  ];
  return encode(packed);
};

/** Decodes a span from a peer; throws if the bytes are not valid. */
const decodeSpan = (bytes: Uint8Array): RecordSpan => {
  const [from, to, settlesInMs, records, era = 0] = decode(bytes) as PackedSpan;
  const isValid =
    (from === null || isCount(from)) &&
    [to, settlesInMs, era].every(isCount) &&
    Array.isArray(records);
  if (!isValid) throw new TypeError('a span of records is not valid');
  return {
    from: from === null ? null : { era, offset: from },
    to: { era, offset: to },
    settlesInMs,
    records: records.map((record) => unpackRecord(record, era)),
    hasEveryRecord: false,
  };
};

/**
 * Converts spans of records to and from the bytes that instances exchange.
 *
 * @example
 * recordSpanCodec.decode(recordSpanCodec.encode(span));
 */
const recordSpanCodec = { encode: encodeSpan, decode: decodeSpan };

export default recordSpanCodec;
