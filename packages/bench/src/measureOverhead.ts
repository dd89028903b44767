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
const LEAD_MS = 2_000;
const RUN_MS = 10_000;
const WARM_MS = 8_000;
const WARM_TOKENS = 10;
const TOKENS = 40;
const SECOND_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const ROUTES = Array.from({ length: ENGINES }, (_unused, index) => `cup-guide-${index}`);
const ASSET = { id: 'cups-7b', sizeMb: 100 };

const collectGarbage = (): void => (globalThis as { gc?: () => void }).gc?.();

const memoryMb = () => {
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  return { own: (heapUsed + external) / BYTES_PER_MB, rss: rss / BYTES_PER_MB };
};

const added = (through: number, direct: number): string => (through - direct).toFixed(2);

const startThread = (file: string, workerData?: object): Worker =>
  new Worker(join(__dirname, file), { workerData });

/**
 * Prints what an instance adds to the first byte and between chunks, against the engines asked
 * directly in the same run; then requests a second for each core, and memory. The instance has this
 * thread for itself: stand-ins and load have threads of their own.
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
  const run = async (plan: Partial<LoadRun> & { callers: number }): Promise<LoadFigures> => {
    const { secret } = entry;
    const rest = { urls: [entry.callersUrl], models: ROUTES, secret, tokens: TOKENS };
    load.postMessage({ ...rest, leadMs: LEAD_MS, durationMs: RUN_MS, ...plan });
    const [figures] = (await once(load, 'message')) as [LoadFigures];
    return figures;
  };
  const direct = { urls: urls.directEngines, models: [ASSET.id] };

  await run({ callers: ENGINES * CAPACITY, tokens: WARM_TOKENS, durationMs: WARM_MS });
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
    const alone = await run({ ...direct, callers });
    const startedAt = performance.eventLoopUtilization();
    const passed = await run({ callers });
    const { utilization } = performance.eventLoopUtilization(startedAt);
    const pair = ({ p50, p95 }: { p50: number; p95: number }) =>
      `${p50.toFixed(2)} / ${p95.toFixed(2)}`;
    printRow([
      String(callers),
      pair(alone.firstByteMs),
      pair(passed.firstByteMs),
      added(passed.firstByteMs.p95, alone.firstByteMs.p95),
      pair(alone.gapMs),
      pair(passed.gapMs),
      `${added(passed.gapMs.p50, alone.gapMs.p50)} / ${added(passed.gapMs.p95, alone.gapMs.p95)}`,
      ((passed.answered * SECOND_MS) / RUN_MS).toFixed(0),
      `${alone.failed} / ${passed.failed}`,
      (utilization * 100).toFixed(0),
    ]);
  }
  const after = memoryMb();
  const startedAt = performance.eventLoopUtilization();
  const short = await run({ callers: ENGINES * CAPACITY, tokens: 1 });
  const { utilization } = performance.eventLoopUtilization(startedAt);
  const perS = (short.answered * SECOND_MS) / RUN_MS;
  process.stdout.write(
    `\nanswers of one token: ${perS.toFixed(0)}/s at ${(utilization * 100).toFixed(0)}% of a core, ` +
      `${(perS / utilization).toFixed(0)}/s for a core, not 200: ${short.failed}\n` +
      `growth over the runs of the table: ${(after.own - before.own).toFixed(1)} MB of heap and ` +
      `buffers, ${(after.rss - before.rss).toFixed(1)} MB resident with all threads\n`,
  );
  await entry.stop();
  await Promise.all([standins.terminate(), load.terminate()]);
};

export default measureOverhead;
