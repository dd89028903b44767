/**
 * Guards that the gaps between events are those that the target causes: neither how bytes are split into chunks nor a
 * caller who reads slowly makes a target look fast or slow.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import EventGaps from '../src/EventGaps';

const EVENT = 'id: 7\ndata: {"t":[1,2,3]}\n\n';

const start = () => {
  const clock = new VirtualClock();
  const samples: number[] = [];
  const gaps = new EventGaps(clock, (gapMs) => samples.push(gapMs));
  const push = async (afterMs: number, text: string, mayContinue = true) => {
    await clock.advance(afterMs);
    gaps.push(Buffer.from(text), mayContinue);
  };
  return { samples, push, end: () => gaps.end() };
};

const repeat = async (times: number, action: () => Promise<void>) => {
  for (let count = 0; count < times; count += 1) await action();
};

test('measures events that arrive one by one', async () => {
  const { samples, push } = start();
  await repeat(9, () => push(50, EVENT));
  expect(samples).toEqual([50, 50]);
});

test('the gaps of a short stream of a fast target are measured at its end, once', async () => {
  const { samples, push, end } = start();
  await repeat(6, () => push(5, EVENT));
  expect(samples).toEqual([]);
  end();
  end();
  await push(5, EVENT);
  expect(samples).toEqual([5]);
});

test('a stream with a single gap after its last sample adds none at its end', async () => {
  const { samples, push, end } = start();
  await repeat(6, () => push(50, EVENT));
  end();
  expect(samples).toEqual([50]);
});

test('a slow span is not averaged with the fast one after it', async () => {
  const { samples, push } = start();
  await push(0, EVENT);
  await repeat(3, () => push(200, EVENT));
  await repeat(8, () => push(50, EVENT));
  expect(samples).toEqual([200, 200, 200, 50, 50]);
});

test('events that arrive in one chunk share the time before it', async () => {
  const { samples, push } = start();
  await push(900, EVENT.repeat(3));
  await repeat(4, () => push(150, EVENT.repeat(3)));
  expect(samples).toEqual([50, 50]);
});

test.each([EVENT, 'data: x\r\n\r\n', 'data: x\r\r', 'data: x\n\n'])(
  'counts %j as one event, however it is split',
  async (event) => {
    const { samples, push } = start();
    await push(0, event);
    await repeat(8, async () => {
      for (const byte of event.slice(0, -1)) await push(0, byte);
      await push(50, event.slice(-1));
    });
    expect(samples).toEqual([50, 50]);
  },
);

test('a comment that keeps the connection open is no event', async () => {
  const { samples, push } = start();
  await repeat(5, async () => {
    await push(40, ': a comment of some length\n\n');
    await push(40, EVENT);
  });
  expect(samples).toEqual([80]);
});

test('nothing is measured after the caller held up the target', async () => {
  const { samples, push } = start();
  await repeat(5, () => push(50, EVENT));
  await push(50, EVENT, false);
  await push(4_000, EVENT);
  await repeat(30, () => push(0, EVENT));
  expect(samples).toEqual([50]);
});
