import { randomUUID } from 'node:crypto';
import { systemClock } from '@wisteriapath/model';
import type RunningStandin from './RunningStandin';
import readText from './readText';
import startStandin from './startStandin';

interface Options {
  readonly port?: number;
  /** Duration of a call. */
  readonly workMs?: number;
}

/**
 * Starts a plain HTTP service that counts the calls with each idempotency key, and records whether
 * it received an `authorization` header, which would expose the key of a workspace.
 *
 * @example
 * const shop = await startService({ workMs: 5 });
 */
const startService = ({ port = 0, workMs = 0 }: Options = {}): Promise<RunningStandin> => {
  const runs: Record<string, number> = {};
  const counts = { calls: 0, finished: 0, inflight: 0, peakInflight: 0, sawTenantKey: false };
  const incarnation = randomUUID();
  return startStandin({
    port,
    state: () => ({ ...counts, runs }),
    routes: (router) => {
      router.get('/load', (context) => {
        const { inflight, finished } = counts;
        const lastOrder = { fencing: 0, sequence: 0 };
        context.body = { incarnation, inflight, finished, lastOrder, assets: [], tiers: {} };
      });
      router.all('/{*path}', async (context) => {
        const body = await readText(context);
        const key = context.get('idempotency-key');
        if (key !== '') runs[key] = (runs[key] ?? 0) + 1;
        counts.calls += 1;
        counts.inflight += 1;
        counts.peakInflight = Math.max(counts.peakInflight, counts.inflight);
        counts.sawTenantKey ||= context.get('authorization') !== '';
        await systemClock.sleep(workMs);
        counts.inflight -= 1;
        counts.finished += 1;
        context.body = { path: context.path, method: context.method, body, run: runs[key] ?? 0 };
      });
    },
  });
};

export default startService;
