import seedrandom from 'seedrandom';
import VirtualClock from '@wisteriapath/virtual-clock';
import type Limiter from './Limiter';
import limiters from './limiters';
import printRow from './printRow';

/** A load balancer: returns the index of the instance that receives a request. */
type Balancer = (random: () => number, atMs: number) => number;

const SEED = '20261204';
const DURATION_MS = 600_000;
const INSTANCES = 6;
const DOMAINS = 3;
const RATE_PER_S = 10_000;
const BURST = 20_000;
const MEAN_TOKENS = 400;
const LOAD_FACTOR = 0.9;
const DEADLINE_MS = 2_000;
const ROUND_TRIP_MS = 2;
const SECOND_MS = 1_000;

const BALANCERS: Readonly<Record<string, Balancer>> = {
  'even balancer': (random) => Math.floor(random() * INSTANCES),
  'all on one instance': () => 0,
  'one domain out': (random) => {
    const serving = [0, 1, 3, 4];
    return serving[Math.floor(random() * serving.length)];
  },
};

interface Counts {
  admitted: number;
  refused: number;
  tokens: number;
  /** Largest number of tokens admitted beyond the burst and the accrued rate. */
  worstExcess: number;
}

/** Sends Poisson arrivals at 90% of the rate, with exponentially distributed sizes. */
const runTraffic = async (
  clock: VirtualClock,
  limiter: Limiter,
  balancer: Balancer,
): Promise<Counts> => {
  const random = seedrandom(SEED);
  const counts: Counts = { admitted: 0, refused: 0, tokens: 0, worstExcess: 0 };
  const exponential = (mean: number) => -Math.log(1 - random()) * mean;
  const gapMs = (MEAN_TOKENS / (RATE_PER_S * LOAD_FACTOR)) * SECOND_MS;
  for (let atMs = 0; atMs < DURATION_MS; atMs += exponential(gapMs)) {
    await clock.runUntil(atMs);
    const tokens = Math.max(1, Math.min(BURST / DOMAINS, Math.round(exponential(MEAN_TOKENS))));
    void limiter.admit(balancer(random, atMs), tokens).then((isAdmitted) => {
      if (!isAdmitted) {
        counts.refused += 1;
        return;
      }
      counts.admitted += 1;
      counts.tokens += tokens;
      const allowed = BURST + (RATE_PER_S * clock.nowMs()) / SECOND_MS;
      counts.worstExcess = Math.max(counts.worstExcess, counts.tokens - allowed);
    });
  }
  await clock.runUntil(DURATION_MS + DEADLINE_MS);
  return counts;
};

/**
 * Prints the share of requests that each limiter refuses though their total is within the rate,
 * with an even and with skewed load balancers.
 *
 * @example
 * await measureRefusals();
 */
const measureRefusals = async (): Promise<void> => {
  process.stdout.write('| balancer | limiter | refused | messages/s | over burst + rate |\n');
  process.stdout.write('| --- | --- | --- | --- | --- |\n');
  for (const [balancerName, balancer] of Object.entries(BALANCERS)) {
    for (const [limiterName, create] of Object.entries(limiters)) {
      const clock = new VirtualClock();
      const limiter = create({
        clock,
        domains: DOMAINS,
        instances: INSTANCES,
        ratePerS: RATE_PER_S,
        burst: BURST,
        deadlineMs: DEADLINE_MS,
        roundTripMs: ROUND_TRIP_MS,
      });
      const counts = await runTraffic(clock, limiter, balancer);
      const total = counts.admitted + counts.refused;
      const refused = `${((100 * counts.refused) / total).toFixed(3)}% of ${total}`;
      const perS = ((limiter.messageCount() * SECOND_MS) / DURATION_MS).toFixed(1);
      const excess = Math.round(counts.worstExcess);
      const cells = [balancerName, limiterName, refused, perS, String(excess)];
      printRow(cells);
    }
  }
};

export default measureRefusals;
