import createColdTrace from './createColdTrace';
import deployments from './deployments';
import percentile from './percentile';
import printRow from './printRow';
import replayColdTrace from './replayColdTrace';
import retentionPolicies from './retentionPolicies';

const SEED = '20261204';
const DURATION_MS = 3 * 3_600_000;
const STORE_LOADS_AT_ONCE = 1;
const SECOND_MS = 1_000;

const seconds = (numbers: readonly number[]): string =>
  [50, 95, 99].map((percent) => (percentile(numbers, percent) / SECOND_MS).toFixed(2)).join(' / ');

/**
 * Prints cold starts and idle engine hours of a seeded trace for each deployment, under the
 * retention policy of the placer and under simple policies.
 *
 * @example
 * await measureColdStarts();
 */
const measureColdStarts = async (): Promise<void> => {
  for (const deployment of deployments) {
    const trace = createColdTrace(deployment, SEED, DURATION_MS);
    process.stdout.write(`\n${deployment.name}: ${trace.requests.length} requests\n\n`);
    printRow([
      'policy',
      'cold starts',
      'wait p50 / p95 / p99 s',
      'bare load p50 / p95 / p99 s',
      'wait ÷ bare, p50 / p99',
      'p99 wait of all requests, s',
      'idle engine hours',
      'loads / decided',
      'refused',
    ]);
    printRow(Array.from({ length: 9 }, () => '---'));
    for (const { name, retention, idleUnloadMs } of retentionPolicies) {
      const replayed = await replayColdTrace({
        deployment,
        trace,
        retention,
        idleUnloadMs,
        storeLoadsAtOnce: STORE_LOADS_AT_ONCE,
      });
      const { coldStarts, waitsMs } = replayed;
      const ratios = coldStarts.map(({ waitMs, uncontendedMs }) => waitMs / uncontendedMs);
      printRow([
        name,
        String(coldStarts.length),
        seconds(coldStarts.map(({ waitMs }) => waitMs)),
        seconds(coldStarts.map(({ uncontendedMs }) => uncontendedMs)),
        [50, 99].map((percent) => percentile(ratios, percent).toFixed(2)).join(' / '),
        (percentile(waitsMs, 99) / SECOND_MS).toFixed(2),
        replayed.idleEngineHours.toFixed(1),
        `${replayed.loads} / ${replayed.decisions}`,
        String(replayed.refused),
      ]);
    }
  }
};

export default measureColdStarts;
