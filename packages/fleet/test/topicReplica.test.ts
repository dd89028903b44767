/** Guards that replicas of a topic agree in the end and never go back, whatever spans reach them in which order. */
import fc from 'fast-check';
import VirtualClock from '@wisteriapath/virtual-clock';
import { type RecordSpan, recordSpanCodec, type StorePosition, TopicReplica } from '../src';
import FakeTopic from './support/FakeTopic';
import ReplicaHolder from './support/ReplicaHolder';
import contentOf from './support/contentOf';

const KEYS = ['a', 'b', 'c'];

const at = (offset: number, era = 1): StorePosition => ({ era, offset });

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
    from: fc.option(fc.record({ era: fc.nat(4), offset: fc.nat(20) })),
  }),
  fc.record({ kind: fc.constant('deliver' as const), receiver: fc.nat(2), message: fc.nat(30) }),
  // The store comes back from an older copy.
  fc.record({ kind: fc.constant('return' as const), lost: fc.nat(12) }),
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
          const answer = next.isList ? topic.list() : topic.read(end);
          messages.push(answer);
          instances[next.reader].merge(answer);
        }
        if (next.kind === 'return') topic.comeBack(next.lost);
        if (next.kind === 'relay') {
          const sent = recordSpanCodec.encode(instances[next.sender].since(next.from));
          messages.push(recordSpanCodec.decode(sent));
        }
        if (next.kind === 'deliver' && messages.length > 0) {
          instances[next.receiver].merge(messages[next.message % messages.length]);
        }
      });
      // One instance reads to the end, and the others catch up with it.
      const [first, ...others] = instances;
      first.merge(topic.read(first.replica.end));
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
  const late = topic.read(at(1));
  topic.write('a', '');
  current.merge(topic.read(at(1)));
  current.merge(late);
  expect(current.applied).toEqual([]);
});

test('a relayed span has what its reader learned from others, for peers that lost it', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const [reader, other, peer] = [new ReplicaHolder(), new ReplicaHolder(), new ReplicaHolder()];
  [reader, other, peer].forEach((instance) => instance.merge(topic.list()));
  topic.write('a', 'leaving');
  other.merge(topic.read(at(1)));
  // The reader gets the relay of the other instance; the peer does not.
  reader.merge(other.since(at(1)));
  reader.merge(topic.read(at(1)));
  peer.merge(reader.since(at(1)));
  expect(peer.applied).toEqual(['a=leaving']);
});

test('an instance that knows less than the remembered deletions gets a list of all keys', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const [current, behind] = [new ReplicaHolder(), new ReplicaHolder()];
  [current, behind].forEach((instance) => instance.merge(topic.list()));
  topic.write('a', '');
  for (let number = 0; number < 2_100; number += 1) topic.write(`gone-${number}`, '');
  current.merge(topic.read(at(1)));
  const answer = current.since(behind.replica.end!);
  expect(answer.from).toBeNull();
  behind.merge(answer);
  expect(behind.applied).toEqual([]);
});

describe('a store that came back from an older copy', () => {
  /** An instance that has read two keys, of which the copy has the first alone. */
  const startBefore = () => {
    const topic = new FakeTopic();
    topic.write('a', 'ready');
    topic.write('b', 'ready');
    const instance = new ReplicaHolder();
    instance.merge(topic.list());
    return { topic, instance };
  };

  test('a record at an offset that was read before is not taken for known', () => {
    const { topic, instance } = startBefore();
    topic.comeBack(1);
    topic.write('a', 'leaving');
    instance.merge(topic.list());
    expect(instance.applied).toEqual(['a=leaving']);
  });

  test('an answer of the older era, however far it reads, does not change what the newer one says', () => {
    const { topic, instance } = startBefore();
    for (let number = 0; number < 5; number += 1) topic.write('b', `${number}`);
    const late = [topic.read(at(2)), topic.list()];
    topic.comeBack(7);
    topic.write('a', 'leaving');
    instance.merge(topic.list());
    late.forEach((answer) => instance.merge(answer));
    expect([instance.applied, instance.replica.end]).toEqual([['a=leaving'], at(1, 2)]);
  });

  test('records of the newer era are not merged before its list', () => {
    const { topic, instance } = startBefore();
    topic.comeBack(0);
    topic.write('c', 'ready');
    instance.merge(topic.read(at(2, 2)));
    expect([instance.applied, instance.replica.end]).toEqual([['a=ready', 'b=ready'], at(2)]);
    expect(instance.replica.isOfOlderEra).toBe(true);
  });

  test('a topic that the copy lacks whole leaves no key, and the first record after it is taken', () => {
    const { topic, instance } = startBefore();
    topic.comeBack(2);
    const peer = new ReplicaHolder();
    instance.merge(topic.list());
    peer.merge(recordSpanCodec.decode(recordSpanCodec.encode(instance.since(null))));
    expect(instance.applied).toEqual([]);
    topic.write('a', 'ready');
    [instance, peer].forEach((one) => one.merge(topic.read(at(0, 2))));
    expect([instance.applied, peer.applied]).toEqual([['a=ready'], ['a=ready']]);
  });

  test('an instance that is asked for what follows a position of another era tells all that it knows', () => {
    const { topic, instance } = startBefore();
    topic.comeBack(1);
    const behind = instance.since(at(0, 2));
    instance.merge(topic.list());
    expect([behind.from, behind.to]).toEqual([null, at(2)]);
    expect([instance.since(at(1, 1)).from, instance.since(at(1, 2)).from]).toEqual([
      null,
      at(1, 2),
    ]);
  });
});

describe('a position that another instance is said to have read up to', () => {
  const start = async () => {
    const clock = new VirtualClock();
    const replica = new TopicReplica(clock);
    const topic = new FakeTopic();
    topic.write('a', 'ready');
    replica.merge(topic.list(), () => false);
    await clock.advance(100);
    return { clock, replica, topic };
  };

  test.each([
    ['offset', { era: 1, offset: 1e15 }],
    ['era', { era: 1e15, offset: 0 }],
  ])('an absurd %s keeps nobody reading once the store was read to its end', async (_, claim) => {
    const { clock, replica } = await start();
    replica.observeEnd(claim);
    expect(replica.behindSinceMs).toBe(100);
    await clock.advance(50);
    replica.confirmEnd(clock.nowMs());
    expect([replica.behindSinceMs, replica.isOfOlderEra]).toEqual([undefined, false]);
  });

  test('a read that began before it was heard of does not disprove it', async () => {
    const { clock, replica } = await start();
    const beganMs = clock.nowMs() - 1;
    replica.observeEnd(at(2));
    replica.confirmEnd(beganMs);
    expect(replica.behindSinceMs).toBe(100);
  });

  test('one of an older era says nothing, however high its offset is', async () => {
    const { replica, topic } = await start();
    topic.comeBack(1);
    replica.merge(topic.list(), () => false);
    replica.observeEnd(at(900));
    expect(replica.behindSinceMs).toBeUndefined();
  });
});

test('positions that the store does not have are forgotten, and its list counts though it ends before them', () => {
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  const instance = new ReplicaHolder();
  instance.merge(topic.list());
  const forged = { ...topic.read(at(1)), to: at(1e15) };
  instance.merge(forged);
  topic.write('b', 'ready');
  instance.merge(topic.list());
  expect(instance.applied).toEqual(['a=ready']);
  instance.replica.forgetPositions();
  const { replica } = instance;
  replica.merge(topic.list(), () => false);
  expect([replica.end, contentOf(instance.since(null))]).toEqual([at(2), ['a=ready', 'b=ready']]);
});

test('a replica is known to be complete by a read to its end, or by an instance that ends at the same position', async () => {
  const clock = new VirtualClock();
  const replica = new TopicReplica(clock);
  const topic = new FakeTopic();
  topic.write('a', 'ready');
  await clock.advance(100);
  replica.merge(topic.list(), () => false);
  expect(replica.confirmedAtMs).toBe(-Infinity);
  replica.confirmEnd(90);
  expect(replica.confirmedAtMs).toBe(90);
  [at(0), at(2), at(1, 2)].forEach((position) => replica.confirmPosition(position, 95));
  expect(replica.confirmedAtMs).toBe(90);
  replica.confirmPosition(at(1), 95);
  expect(replica.confirmedAtMs).toBe(95);
  replica.confirmPosition(at(1), 80);
  expect(replica.confirmedAtMs).toBe(95);
  // What others read is not told on.
  expect(replica.readToEndAtMs).toBe(90);
});
