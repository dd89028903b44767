import { build } from 'hdr-histogram-js';
import { systemClock } from '@wisteriapath/model';
import { request } from 'undici';
import printRow from './printRow';
import startSystem from './startSystem';

const INSTANCES = 6;
const APPENDS_PER_S = 300;
const WINDOW_MS = 8_000;
const WARM_UP_MS = 3_000;
const SECOND_MS = 1_000;
const CALLERS = [1, 16, 64, 256];
const OK = 200;

/**
 * Prints latency and throughput of calls that are dispatched at most once, here bookings, with a
 * log that accepts 300 appends a second.
 *
 * @example
 * await measureClaims();
 */
const measureClaims = async (): Promise<void> => {
  process.stdout.write('| callers | bookings/s | p50 ms | p99 ms | not 200 | appends/s |\n');
  process.stdout.write('| --- | --- | --- | --- | --- | --- |\n');
  const system = await startSystem(INSTANCES, { appendsPerS: APPENDS_PER_S });
  const authorization = `Bearer ${system.secret}`;
  let sequence = 0;
  const book = async (instance: number): Promise<number> => {
    sequence += 1;
    const { callersUrl } = system.instances[instance];
    const response = await request(`${callersUrl}/services/bookings/book`, {
      method: 'POST',
      headers: { authorization, 'idempotency-key': `cup-${sequence}` },
      body: '{}',
    });
    await response.body.dump();
    return response.statusCode;
  };
  const runCallers = async (callers: number, durationMs: number) => {
    const latency = build();
    let failed = 0;
    const untilMs = systemClock.nowMs() + durationMs;
    await Promise.all(
      Array.from({ length: callers }, async (_unused, caller) => {
        while (systemClock.nowMs() < untilMs) {
          const startedMs = systemClock.nowMs();
          const status = await book(caller % INSTANCES);
          latency.recordValue(Math.round(systemClock.nowMs() - startedMs));
          if (status !== OK) failed += 1;
        }
      }),
    );
    return { latency, failed };
  };
  await runCallers(CALLERS[1], WARM_UP_MS);
  for (const callers of CALLERS) {
    const { appends } = system.log.state() as { appends: number };
    const { latency, failed } = await runCallers(callers, WINDOW_MS);
    const bookingsPerS = (latency.totalCount - failed) * (SECOND_MS / WINDOW_MS);
    const appended = (system.log.state() as { appends: number }).appends - appends;
    const cells = [
      String(callers),
      bookingsPerS.toFixed(0),
      String(latency.getValueAtPercentile(50)),
      String(latency.getValueAtPercentile(99)),
      String(failed),
      ((appended * SECOND_MS) / WINDOW_MS).toFixed(0),
    ];
    printRow(cells);
  }
  await system.stop();
};

export default measureClaims;
