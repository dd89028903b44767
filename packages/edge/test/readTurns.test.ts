/** In which order connections that wait for a turn are read, and how many in one turn of the event loop. */
import type { Socket } from 'node:net';
import { setImmediate as passTurn } from 'node:timers/promises';
import ReadTurns from '../src/ReadTurns';

const TURNS = 6;

/** A connection that waits for its next turn each time it is read, as often as it has blocks of bytes. */
const createConnections = (blocks: readonly number[]) => {
  const turns = new ReadTurns();
  const reads: string[] = [];
  const left = [...blocks];
  const connections = blocks.map((_, number) => {
    const name = `c${number}`;
    const connection = {
      isReading: true,
      pause: () => {
        connection.isReading = false;
      },
      resume: () => {
        connection.isReading = true;
        reads.push(name);
        left[number] -= 1;
        if (left[number] > 0) turns.wait(connection as unknown as Socket);
      },
    };
    return connection;
  });
  connections.forEach((connection) => turns.wait(connection as unknown as Socket));
  return { connections, reads };
};

test('connections are read in turn, one in each turn of the event loop', async () => {
  const { connections, reads } = createConnections([2, 1, 3]);
  const counts: number[] = [];
  for (let turn = 0; turn < TURNS; turn += 1) {
    await passTurn();
    counts.push(reads.length);
  }
  expect(reads).toEqual(['c0', 'c1', 'c2', 'c0', 'c2', 'c2']);
  expect(counts).toEqual([1, 2, 3, 4, 5, 6]);
  expect(connections.every(({ isReading }) => isReading)).toBe(true);
});

test('a connection that waits is not read before its turn', async () => {
  const { connections } = createConnections([1, 1, 1]);
  await passTurn();
  expect(connections.map(({ isReading }) => isReading)).toEqual([true, false, false]);
  await passTurn();
  expect(connections.map(({ isReading }) => isReading)).toEqual([true, true, false]);
});
