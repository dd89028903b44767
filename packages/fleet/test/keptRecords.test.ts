/** A replica keeps the bytes of its records alone, not those of the answers that brought them. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TopicReplica } from '../src';

const ANSWER_BYTES = 1_048_576;
const at = (offset: number) => ({ era: 1, offset });
const ENTRY = Buffer.from('{"service":"desk"}');

/** Returns a value as it stands in an answer of the store, behind other records. */
const inAnswer = (value: Buffer): Uint8Array => {
  const answer = new Uint8Array(ANSWER_BYTES);
  answer.set(value, ANSWER_BYTES - value.length);
  return answer.subarray(ANSWER_BYTES - value.length);
};

test.each([
  ['an entry', ENTRY],
  ['a deletion', Buffer.alloc(0)],
])('%s that is kept does not keep the answer that brought it', (_, value) => {
  const replica = new TopicReplica(new VirtualClock());
  const span = { hasEveryRecord: true, settlesInMs: 0 };
  replica.merge({ ...span, from: null, to: at(1), records: [] }, () => false);
  const record = {
    key: 'target',
    position: at(1),
    value: inAnswer(value),
    ageMs: 0,
    settlesInMs: 0,
  };
  replica.merge({ ...span, from: at(1), to: at(2), records: [record] }, () => false);
  const [kept] = replica.since(null, () => 0).records;
  expect(Buffer.from(kept.value)).toEqual(value);
  expect(kept.value.buffer.byteLength).toBe(value.length);
});
