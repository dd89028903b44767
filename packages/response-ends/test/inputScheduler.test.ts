/** In which order the bytes of connections are parsed, and how long in one turn of the event loop. */
import { setImmediate as passTurn } from 'node:timers/promises';
import type ConnectionInput from '../src/ConnectionInput';
import InputScheduler from '../src/InputScheduler';

/** Time that the scheduler gives to one connection before others have their turn. */
const SHARE_MS = 0.25;
/** Time that the scheduler spends in one turn on connections that waited. */
const TURN_MS = 2;
const BLOCK_BYTES = 100;
/** Turns in which all that wait in a test are parsed. */
const TURNS = 40;

describe('the parsing of connections', () => {
  let nowMs: number;
  let parsed: string[];
  let scheduler: InputScheduler;

  beforeEach(() => {
    nowMs = 1_000;
    parsed = [];
    scheduler = new InputScheduler();
    jest.spyOn(performance, 'now').mockImplementation(() => nowMs);
  });
  afterEach(async () => {
    for (let turn = 0; turn < TURNS; turn += 1) await passTurn();
    jest.restoreAllMocks();
  });

  /** A connection with blocks of bytes, each of which takes a share of a turn, or less. */
  const open = (name: string, blocks: number, { spentMs = 0, blockMs = SHARE_MS } = {}) => {
    const input = {
      spentMs,
      countedBytes: 0,
      queue: undefined,
      unreadBytes: blocks * BLOCK_BYTES,
      get isReady() {
        return input.unreadBytes > 0;
      },
      parse: () => {
        parsed.push(name);
        nowMs += blockMs;
        input.spentMs += blockMs;
        input.unreadBytes -= BLOCK_BYTES;
      },
    };
    return input as unknown as ConnectionInput;
  };
  const fill = () => scheduler.add(open('filler', 1, { blockMs: TURN_MS }));

  test('begins at once while nothing else was parsed in the turn', () => {
    scheduler.add(open('a', 1));
    expect(parsed).toEqual(['a']);
  });

  // Guards against connections that each are parsed at once, so that many of them hold up one turn of the event loop.
  test('is bounded in one turn of the event loop, over all connections', async () => {
    fill();
    Array.from({ length: 40 }, (_, number) => open(`c${number}`, 1)).forEach((input) =>
      scheduler.add(input),
    );
    expect(parsed).toEqual(['filler']);
    await passTurn();
    expect((parsed.length - 1) * SHARE_MS).toBeLessThanOrEqual(TURN_MS);
    expect(parsed.length).toBeGreaterThan(1);
  });

  // Guards against connections that are forgotten where a turn ends with one that has no more bytes.
  test('comes to all that wait, without a further one', async () => {
    fill();
    Array.from({ length: 40 }, (_, number) => open(`c${number}`, 1)).forEach((input) =>
      scheduler.add(input),
    );
    for (let turn = 0; turn < TURNS; turn += 1) await passTurn();
    expect(parsed).toHaveLength(41);
    expect(scheduler.unreadBytes).toBe(0);
  });

  // Guards against an ordinary request that waits for bodies whose bytes cost much.
  test('begins with those that have cost least', async () => {
    fill();
    scheduler.add(open('dear', 1, { spentMs: 50 }));
    scheduler.add(open('cheap', 1, { spentMs: 0.2 }));
    scheduler.add(open('fresh', 1));
    await passTurn();
    expect(parsed).toEqual(['filler', 'fresh', 'cheap', 'dear']);
  });

  // Guards against a body that makes no progress as long as new connections come.
  test('goes on with the others while new connections come without an end', async () => {
    fill();
    scheduler.add(open('dear', 1, { spentMs: 50 }));
    for (let number = 0; number < 40; number += 1) scheduler.add(open(`c${number}`, 1));
    for (let turn = 0; turn < 3 && !parsed.includes('dear'); turn += 1) await passTurn();
    expect(parsed).toContain('dear');
  });

  test('takes turns among those that have cost the same', async () => {
    fill();
    scheduler.add(open('a', 2));
    scheduler.add(open('b', 2));
    for (let turn = 0; turn < 4; turn += 1) await passTurn();
    expect(parsed).toEqual(['filler', 'a', 'b', 'a', 'b']);
  });

  test('counts the bytes that wait, and forgets those of a connection that has closed', async () => {
    fill();
    const [first, second] = [open('a', 2), open('b', 3)];
    scheduler.add(first);
    scheduler.add(second);
    expect(scheduler.unreadBytes).toBe(5 * BLOCK_BYTES);
    scheduler.remove(first);
    expect(scheduler.unreadBytes).toBe(3 * BLOCK_BYTES);
    await passTurn();
    expect(parsed).not.toContain('a');
    expect(scheduler.unreadBytes).toBe(0);
  });

  // Guards against connections that are closed for the bytes of others, which wait for their callers to take answers.
  test('counts no bytes of a connection that cannot be parsed now', () => {
    fill();
    const held = Object.defineProperty(open('held', 9), 'isReady', { value: false });
    scheduler.add(held);
    expect(scheduler.unreadBytes).toBe(0);
  });

  test('knows which one costs most, and of several that with most bytes', () => {
    fill();
    const dear = open('dear', 1, { spentMs: 50 });
    const [small, large] = [open('small', 1), open('large', 9)];
    [small, large, dear].forEach((input) => scheduler.add(input));
    expect(scheduler.heaviest(() => true)).toBe(dear);
    expect(scheduler.heaviest((input) => input !== dear)).toBe(large);
    expect(scheduler.heaviest(() => false)).toBeUndefined();
  });
});
