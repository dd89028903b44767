/** Guards the order of service between workspaces, classes and deadlines. */
import fc from 'fast-check';
import { RequestClass } from '@wisteriapath/model';
import { FairQueue, type QueueItem } from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);

const item = (workspace: string, more: Partial<QueueItem> = {}): QueueItem => ({
  workspace,
  weight: 1,
  requestClass: RequestClass.Interactive,
  deadlineAtMs: 0,
  cost: 10,
  ...more,
});

const queueOf = (items: readonly QueueItem[]) => {
  const queue = new FairQueue<QueueItem>();
  items.forEach((one) => queue.push(one));
  return queue;
};

const popAll = (queue: FairQueue<QueueItem>): QueueItem[] => {
  const popped: QueueItem[] = [];
  for (let next = queue.pop(); next !== undefined; next = queue.pop()) popped.push(next);
  return popped;
};

const many = (count: number, one: QueueItem) => Array.from({ length: count }, () => ({ ...one }));

describe('fair queue', () => {
  test('a workspace with many requests does not delay another workspace', () => {
    const queue = queueOf([...many(100, item('flood')), ...many(5, item('calm'))]);
    const order = popAll(queue).map(({ workspace }) => workspace);
    expect(order.lastIndexOf('calm')).toBeLessThanOrEqual(10);
  });

  test('workspaces are served in proportion to their weights', () => {
    const queue = queueOf([
      ...many(90, item('heavy', { weight: 3 })),
      ...many(90, item('light', { weight: 1 })),
    ]);
    const first = Array.from({ length: 40 }, () => queue.pop()!.workspace);
    expect(first.filter((workspace) => workspace === 'heavy').length).toBeCloseTo(30, -1);
  });

  test('requests of one workspace are served by earliest deadline', () => {
    const queue = queueOf([3, 1, 2].map((deadlineAtMs) => item('a', { deadlineAtMs })));
    expect(popAll(queue).map(({ deadlineAtMs }) => deadlineAtMs)).toEqual([1, 2, 3]);
  });

  test('deferrable requests yield to interactive ones without starving', () => {
    const deferrable = item('a', { requestClass: RequestClass.Deferrable });
    const queue = queueOf([...many(80, item('a')), ...many(5, deferrable)]);
    const first = Array.from({ length: 40 }, () => queue.pop()!.requestClass);
    expect(first.filter((one) => one === RequestClass.Deferrable)).toHaveLength(5);
  });

  test('every item is served exactly once, unless it was removed', () => {
    const workspace = fc.constantFrom('a', 'b', 'c');
    const anyItem = fc.record({
      workspace,
      weight: fc.integer({ min: 1, max: 5 }),
      requestClass: fc.constantFrom(RequestClass.Interactive, RequestClass.Deferrable),
      deadlineAtMs: fc.nat(100),
      cost: fc.integer({ min: 1, max: 1_000 }),
    });
    fc.assert(
      fc.property(fc.array(anyItem, { maxLength: 40 }), fc.nat(39), (items, which) => {
        const queue = queueOf(items);
        const removed = items[which];
        if (removed !== undefined) queue.remove(removed);
        const rest = items.filter((one) => one !== removed);
        const popped = popAll(queue);
        return popped.length === rest.length && new Set(popped).size === rest.length;
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
