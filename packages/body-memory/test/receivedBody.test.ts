/** What the body of a request holds, and what is counted for it, from its first byte to the end of its request. */
import MemoryBudget from '../src/MemoryBudget';
import ReceivedBody from '../src/ReceivedBody';

const LIMIT_BYTES = 100_000;
const CHUNK = Buffer.alloc(3_000, 'x');

describe('the body of a request', () => {
  let budget: MemoryBudget;
  let body: ReceivedBody;
  beforeEach(() => {
    budget = new MemoryBudget(LIMIT_BYTES, () => {});
    body = new ReceivedBody(budget.reserve());
  });

  test('counts what it occupies while it arrives, and its length once it is whole', () => {
    body.append(CHUNK);
    body.append(CHUNK);
    expect(budget.heldBytes).toBeGreaterThanOrEqual(2 * CHUNK.length);
    expect(body.take()).toEqual(Buffer.concat([CHUNK, CHUNK]));
    expect(budget.heldBytes).toBe(2 * CHUNK.length);
    body.drop();
    expect(budget.heldBytes).toBe(0);
  });

  // Guards against a body that stays in memory though nothing is counted for it any more.
  test('keeps nothing once it was dropped, whatever still arrives', () => {
    body.append(CHUNK);
    body.drop();
    body.append(CHUNK);
    expect(budget.heldBytes).toBe(0);
    expect(body.take()).toHaveLength(0);
    expect(budget.heldBytes).toBe(0);
  });

  test('keeps nothing once it has given way', () => {
    const calls: string[] = [];
    body.onGiveWay = () => calls.push('gave way');
    for (let sizeBytes = 0; sizeBytes < 2 * LIMIT_BYTES; sizeBytes += CHUNK.length) {
      body.append(CHUNK);
    }
    expect(calls).toEqual(['gave way']);
    expect(body.hasGivenWay).toBe(true);
    expect(body.take()).toHaveLength(0);
  });
});
