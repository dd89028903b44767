import { once } from 'node:events';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import type LoadFigures from './LoadFigures';
import type LoadRun from './LoadRun';
import type StandinUrls from './StandinUrls';
import printRow from './printRow';
import startEntry from './startEntry';

const ENGINES = 8;
const CAPACITY = 32;
const TOKEN_MS = 25;
const CALLERS = [1, 50, 200];
const RUN_WARM_UP_MS = 2_000;
const RUN_MS = 10_000;
const ENGINE_WARM_UP_MS = 8_000;
const ENGINE_WARM_UP_TOKENS = 10;
const TOKENS = 40;
const SECOND_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const ROUTES = Array.from({ length: ENGINES }, (_unused, index) => `cup-guide-${index}`);
const ASSET = { id: 'cups-7b', sizeMb: 100 };

const collectGarbage = (): void => (globalThis as { gc?: () => void }).gc?.();

const memoryMb = () => {
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  return { heap: (heapUsed + external) / BYTES_PER_MB, rss: rss / BYTES_PER_MB };
};

const addedMs = (through: number, direct: number): string => (through - direct).toFixed(2);

const startThread = (file: string, workerData?: object): Worker =>
  new Worker(join(__dirname, file), { workerData });

/**
 * Prints the latency that an instance adds to the first byte and between chunks, compared with
 * direct requests to engines in the same run; then requests per second and core, and memory growth.
 * The instance has this thread to itself: stand-ins and load run in threads of their own.
 *
 * @example
 * await measureOverhead();
 */
const measureOverhead = async (): Promise<void> => {
  const engine = { capacity: CAPACITY * 4, freshCapacity: CAPACITY * 4, tokenMs: TOKEN_MS };
  const standins = startThread('standinThread.js', { engines: ENGINES, engine, asset: ASSET });
  const [urls] = (await once(standins, 'message')) as [StandinUrls];
  const load = startThread('loadThread.js');
  const entry = await startEntry({ urls, routes: ROUTES, asset: ASSET, capacity: CAPACITY });
  const run = async (overrides: Partial<LoadRun> & { callers: number }): Promise<LoadFigures> => {
    const { secret } = entry;
    const defaults = { urls: [entry.callersUrl], models: ROUTES, secret, tokens: TOKENS };
    load.postMessage({ ...defaults, warmUpMs: RUN_WARM_UP_MS, durationMs: RUN_MS, ...overrides });
    const [figures] = (await once(load, 'message')) as [LoadFigures];
    return figures;
  };
  const direct = { urls: urls.directEngines, models: [ASSET.id] };

  await run({
    callers: ENGINES * CAPACITY,
    tokens: ENGINE_WARM_UP_TOKENS,
    durationMs: ENGINE_WARM_UP_MS,
  });
  const before = memoryMb();
  printRow([
    'at once',
    'first byte p50 / p95 ms, direct',
    'through',
    'added at p95 ms',
    'between chunks p50 / p95 ms, direct',
    'through',
    'added at p50 / p95 ms',
    'answers/s',
    'not 200',
    '% of a core',
  ]);
  printRow(Array.from({ length: 10 }, () => '---'));
  for (const callers of CALLERS) {
    const directFigures = await run({ ...direct, callers });
    const utilizationBefore = performance.eventLoopUtilization();
    const throughFigures = await run({ callers });
    const { utilization } = performance.eventLoopUtilization(utilizationBefore);
    const pair = ({ p50, p95 }: { p50: number; p95: number }) =>
      `${p50.toFixed(2)} / ${p95.toFixed(2)}`;
    printRow([
      String(callers),
      pair(directFigures.firstByteMs),
      pair(throughFigures.firstByteMs),
      addedMs(throughFigures.firstByteMs.p95, directFigures.firstByteMs.p95),
      pair(directFigures.gapMs),
      pair(throughFigures.gapMs),
      `${addedMs(throughFigures.gapMs.p50, directFigures.gapMs.p50)} / ${addedMs(throughFigures.gapMs.p95, directFigures.gapMs.p95)}`,
      ((throughFigures.answered * SECOND_MS) / RUN_MS).toFixed(0),
      `${directFigures.failed} / ${throughFigures.failed}`,
      (utilization * 100).toFixed(0),
    ]);
  }
  const after = memoryMb();
  const utilizationBefore = performance.eventLoopUtilization();
  const singleToken = await run({ callers: ENGINES * CAPACITY, tokens: 1 });
  const { utilization } = performance.eventLoopUtilization(utilizationBefore);
  const perS = (singleToken.answered * SECOND_MS) / RUN_MS;
  process.stdout.write(
    `\nanswers of one token: ${perS.toFixed(0)}/s at ${(utilization * 100).toFixed(0)}% of a core, ` +
      `${(perS / utilization).toFixed(0)}/s for a core, not 200: ${singleToken.failed}\n` +
      `growth over the runs of the table: ${(after.heap - before.heap).toFixed(1)} MB of heap and ` +
      `buffers, ${(after.rss - before.rss).toFixed(1)} MB resident with all threads\n`,
  );
  await entry.stop();
  await Promise.all([standins.terminate(), load.terminate()]);
};

export default measureOverhead;
