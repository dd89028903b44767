import { setTimeout as sleep } from 'node:timers/promises';
import { ByteAccumulator } from '@wisteriapath/byte-accumulator';
import printRow from './printRow';

/** Something that keeps the pieces of a body until it is complete. */
interface BodyKeeper {
  append(chunk: Buffer): void;
  take(): Buffer;
}

const BODY_BYTES = [300_000, 600_000, 1_200_000];
const CHUNK_BYTES = [1, 16, 256, 4_096, 65_536];
/** Bodies that are read before the time is taken, so that the code is compiled. */
const WARM_UP_BODIES = 3;
const TIMED_BODIES = 9;
/** Time in which V8 frees the memory of Buffers that were collected, in a thread of its own. */
const SWEEP_MS = 30;
/** Content of a body that takes all blocks which are free to be used again, so that those of the measured one are new. */
const FILLING_BYTES = 12_000_000;
const FILLING_CHUNK_BYTES = 65_536;
const BYTES_PER_KB = 1_024;

const KEEPERS: Readonly<Record<string, () => BodyKeeper>> = {
  'a Buffer for each chunk (before)': () => {
    const chunks: Buffer[] = [];
    return {
      append: (chunk) => {
        chunks.push(chunk);
      },
      take: () => Buffer.concat(chunks),
    };
  },
  'ByteAccumulator (after)': () => new ByteAccumulator(),
};

/** Passes on a body as the HTTP parser does: each chunk in a Buffer of its own. */
const feed = (keeper: BodyKeeper, bodyBytes: number, chunkBytes: number): void => {
  for (let at = 0; at < bodyBytes; at += chunkBytes) {
    keeper.append(Buffer.allocUnsafeSlow(Math.min(chunkBytes, bodyBytes - at)));
  }
};

const collect = (): void => {
  (globalThis as { gc?: () => void }).gc?.();
};

const occupiedBytes = async (): Promise<number> => {
  for (let count = 0; count < 2; count += 1) {
    collect();
    await sleep(SWEEP_MS);
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

/** Returns the median time to read a body. */
const measureTime = (create: () => BodyKeeper, bodyBytes: number, chunkBytes: number): number => {
  const timesMs: number[] = [];
  for (let count = 0; count < WARM_UP_BODIES + TIMED_BODIES; count += 1) {
    collect();
    const beganMs = performance.now();
    const keeper = create();
    feed(keeper, bodyBytes, chunkBytes);
    keeper.take();
    if (count >= WARM_UP_BODIES) timesMs.push(performance.now() - beganMs);
  }
  timesMs.sort((one, other) => one - other);
  return timesMs[Math.floor(timesMs.length / 2)];
};

/** Returns the memory that a body occupies until it is taken. */
const measureMemory = async (
  create: () => BodyKeeper,
  bodyBytes: number,
  chunkBytes: number,
): Promise<number> => {
  const filling = create();
  feed(filling, FILLING_BYTES, FILLING_CHUNK_BYTES);
  const before = await occupiedBytes();
  const keeper = create();
  feed(keeper, bodyBytes, chunkBytes);
  const heldBytes = (await occupiedBytes()) - before;
  keeper.take();
  filling.take();
  return heldBytes;
};

/**
 * Prints the time to read a body and the memory that it occupies, by the size of its chunks, with a Buffer kept for each chunk and with
 * `ByteAccumulator`.
 *
 * @example
 * await measureBodies();
 */
const measureBodies = async (): Promise<void> => {
  printRow(['kept in', 'chunk', 'body', 'time', 'memory']);
  printRow(['---', '---', '---', '---', '---']);
  for (const [name, create] of Object.entries(KEEPERS)) {
    for (const chunkBytes of CHUNK_BYTES) {
      for (const bodyBytes of BODY_BYTES) {
        const medianMs = measureTime(create, bodyBytes, chunkBytes);
        const heldBytes = await measureMemory(create, bodyBytes, chunkBytes);
        const heldKb = Math.round(heldBytes / BYTES_PER_KB);
        printRow([
          name,
          `${chunkBytes} B`,
          `${bodyBytes / 1_000} kB`,
          `${medianMs.toFixed(2)} ms`,
          `${heldKb} kB`,
        ]);
      }
    }
  }
};

export default measureBodies;
