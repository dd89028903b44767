/** Guards that replicas of a topic agree in the end and never go back, whatever spans reach them in which order. */
import fc from 'fast-check';
import type { RecordSpan } from '../src';
import FakeTopic from './support/FakeTopic';
import ReplicaHolder from './support/ReplicaHolder';
import contentOf from './support/contentOf';

const KEYS = ['a', 'b', 'c'];

const step = fc.oneof(
  fc.record({
    kind: fc.constant('write' as const),
    key: fc.constantFrom(...KEYS),
    text: fc.constantFrom('', 'ready', 'leaving'),
  }),
  fc.record({ kind: fc.constant('read' as const), reader: fc.nat(2), isList: fc.boolean() }),
  // A span that an instance makes now, and that others get now, later or never.
  fc.record({
    kind: fc.constant('relay' as const),
    sender: fc.nat(2),
    from: fc.option(fc.nat(20)),
  }),
  fc.record({ kind: fc.constant('deliver' as const), receiver: fc.nat(2), message: fc.nat(30) }),
);

const seed = process.env.FUZZ_SEED === undefined ? undefined : Number(process.env.FUZZ_SEED);
const numRuns = Number(process.env.FUZZ_RUNS ?? 300);

test('whatever order, loss and repetition of spans: no replica goes back, and all end with what the store holds', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const topic = new FakeTopic();
      const instances = [new ReplicaHolder(), new ReplicaHolder(), new ReplicaHolder()];
      const messages: RecordSpan[] = [];
      steps.forEach((next) => {
        if (next.kind === 'write') topic.write(next.key, next.text);
        if (next.kind === 'read') {
          const { end } = instances[next.reader].replica;
          const isList = next.isList || end === undefined;
          instances[next.reader].merge(isList ? topic.list() : topic.read(end));
        }
        if (next.kind === 'relay') messages.push(instances[next.sender].since(next.from));
        if (next.kind === 'deliver' && messages.length > 0) {
          instances[next.receiver].merge(messages[next.message % messages.length]);
        }
      });
      // One instance reads to the end, and the others catch up with it.
      const [first, ...others] = instances;
      first.merge(first.replica.end === undefined ? topic.list() : topic.read(first.replica.end));
      others.forEach((other) => other.merge(first.since(other.replica.end ?? null)));
      instances.forEach((instance) => {
        expect(instance.wentBack).toBe(false);
        expect(contentOf(instance.since(null))).toEqual(topic.content);
        expect(instance.applied).toEqual(topic.content);
      });
    }),
    { seed, numRuns },
  );
});

test('an old span that arrives after a deletion does not bring the key back', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const current = new ReplicaHolder();
  current.merge(topic.list());
  topic.write('a', 'leaving');
  const late = topic.read(1);
  topic.write('a', '');
  current.merge(topic.read(1));
  current.merge(late);
  expect(current.applied).toEqual([]);
});

test('a relayed span has what its reader learned from others, for peers that lost it', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const [reader, other, peer] = [new ReplicaHolder(), new ReplicaHolder(), new ReplicaHolder()];
  [reader, other, peer].forEach((instance) => instance.merge(topic.list()));
  topic.write('a', 'leaving');
  other.merge(topic.read(1));
  // The reader gets the relay of the other instance; the peer does not.
  reader.merge(other.since(1));
  reader.merge(topic.read(1));
  peer.merge(reader.since(1));
  expect(peer.applied).toEqual(['a=leaving']);
});

test('an instance that knows less than the remembered deletions gets a list of all keys', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const [current, behind] = [new ReplicaHolder(), new ReplicaHolder()];
  [current, behind].forEach((instance) => instance.merge(topic.list()));
  topic.write('a', '');
  for (let number = 0; number < 2_100; number += 1) topic.write(`gone-${number}`, '');
  current.merge(topic.read(1));
  const answer = current.since(behind.replica.end!);
  expect(answer.from).toBeNull();
  behind.merge(answer);
  expect(behind.applied).toEqual([]);
});
