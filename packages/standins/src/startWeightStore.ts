import { systemClock } from '@wisteriapath/model';
import type RunningStandin from './RunningStandin';
import startStandin from './startStandin';

interface Options {
  readonly port?: number;
  /** Limit on loads started in a second; further ones get 429. */
  readonly loadsPerS?: number;
  /**
   * Concurrent loads up to which each runs at full speed; with more, all slow down in proportion.
   */
  readonly fullSpeedLoads?: number;
  /** Speed of a load at full speed, in megabytes per second. */
  readonly mbPerS?: number;
}

const SECOND_MS = 1_000;
const TOO_MANY_REQUESTS = 429;

/**
 * Starts the weight store stand-in: `GET /weights/NAME?sizeMb=` takes as long as a fetch of that
 * size, and transfers nothing.
 *
 * @example
 * const store = await startWeightStore({ loadsPerS: 3, fullSpeedLoads: 4 });
 */
const startWeightStore = ({
  port = 0,
  loadsPerS = 3,
  fullSpeedLoads = 4,
  mbPerS = 20_000,
}: Options = {}): Promise<RunningStandin> => {
  const counts = { loads: 0, refused: 0, loading: 0, peakLoading: 0 };
  let recentLoadsMs: number[] = [];
  return startStandin({
    port,
    state: () => counts,
    routes: (router) => {
      router.get('/weights/:name', async (context) => {
        const nowMs = Date.now();
        recentLoadsMs = recentLoadsMs.filter((atMs) => atMs > nowMs - SECOND_MS);
        if (recentLoadsMs.length >= loadsPerS) {
          counts.refused += 1;
          context.status = TOO_MANY_REQUESTS;
          return;
        }
        recentLoadsMs.push(nowMs);
        counts.loads += 1;
        counts.loading += 1;
        counts.peakLoading = Math.max(counts.peakLoading, counts.loading);
        const slowdown = Math.max(1, counts.loading / fullSpeedLoads);
        const fullSpeedMs = (Number(context.query.sizeMb ?? 0) / mbPerS) * SECOND_MS;
        await systemClock.sleep(fullSpeedMs * slowdown);
        counts.loading -= 1;
        context.body = {};
      });
    },
  });
};

export default startWeightStore;
