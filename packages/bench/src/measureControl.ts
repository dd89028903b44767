import { systemClock } from '@wisteriapath/model';
import printRow from './printRow';
import startSystem from './startSystem';

const SETTLE_MS = 4_000;
const WINDOW_MS = 10_000;
const SECOND_MS = 1_000;
const MICROSECONDS_PER_S = 1e6;
const BYTES_PER_MB = 1_048_576;
const INSTANCE_COUNTS = [3, 6, 12, 24];

interface LogCounts {
  readonly appends: number;
  readonly appendedBytes: number;
  readonly reads: number;
}

/**
 * Prints the cost of idle instances: log appends and reads, processor time and memory. All
 * instances and stand-ins run in this process.
 *
 * @example
 * await measureControl();
 */
const measureControl = async (): Promise<void> => {
  process.stdout.write(
    '| instances | appends/s | appended B/s | reads/s | % of a core | heap MB | RSS MB |\n',
  );
  process.stdout.write('| --- | --- | --- | --- | --- | --- | --- |\n');
  for (const instanceCount of INSTANCE_COUNTS) {
    const system = await startSystem(instanceCount);
    await systemClock.sleep(SETTLE_MS);
    const before = system.log.state() as LogCounts;
    const counted = { ...before };
    const cpu = process.cpuUsage();
    await systemClock.sleep(WINDOW_MS);
    const used = process.cpuUsage(cpu);
    const after = system.log.state() as LogCounts;
    const perS = (key: keyof LogCounts) =>
      (((after[key] - counted[key]) * SECOND_MS) / WINDOW_MS).toFixed(1);
    const share = (100 * (used.user + used.system)) / MICROSECONDS_PER_S / (WINDOW_MS / SECOND_MS);
    const { heapUsed, rss } = process.memoryUsage();
    const cells = [
      String(instanceCount),
      perS('appends'),
      perS('appendedBytes'),
      perS('reads'),
      share.toFixed(1),
      (heapUsed / BYTES_PER_MB).toFixed(0),
      (rss / BYTES_PER_MB).toFixed(0),
    ];
    printRow(cells);
    await system.stop();
  }
};

export default measureControl;
