import { decode, encode } from '@msgpack/msgpack';
import type KeyedRecord from './KeyedRecord';
import type RecordSpan from './RecordSpan';

type PackedRecord = readonly [string, number, Uint8Array, number, number];

type PackedSpan = readonly [number | null, number, number, readonly PackedRecord[]];

const packRecord = ({ key, offset, value, ageMs, settlesInMs }: KeyedRecord): PackedRecord => [
  key,
  offset,
  value,
  Math.round(ageMs),
  Math.ceil(settlesInMs),
];

const isOffset = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

const unpackRecord = (packed: PackedRecord): KeyedRecord => {
  const [key, offset, value, ageMs, settlesInMs] = packed;
  const isValid =
    typeof key === 'string' &&
    value instanceof Uint8Array &&
    [offset, ageMs, settlesInMs].every(isOffset);
  if (!isValid) throw new TypeError('a record of a span is not valid');
  return { key, offset, value, ageMs, settlesInMs };
};

const encodeSpan = ({ from, to, settlesInMs, records }: RecordSpan): Uint8Array => {
  const packed: PackedSpan = [from, to, Math.ceil(settlesInMs), records.map(packRecord)];
  return encode(packed);
};

/** Decodes a span from a peer; throws if the bytes are not valid. */
const decodeSpan = (bytes: Uint8Array): RecordSpan => {
  const [from, to, settlesInMs, records] = decode(bytes) as PackedSpan;
  const isValid =
    (from === null || isOffset(from)) &&
    isOffset(to) &&
    isOffset(settlesInMs) &&
    Array.isArray(records);
  if (!isValid) throw new TypeError('a span of records is not valid');
  return { from, to, settlesInMs, records: records.map(unpackRecord), hasEveryRecord: false };
};

/**
 * Converts spans of records to and from the bytes that instances exchange.
 *
 * @example
 * recordSpanCodec.decode(recordSpanCodec.encode(span));
 */
const recordSpanCodec = { encode: encodeSpan, decode: decodeSpan };

export default recordSpanCodec;
