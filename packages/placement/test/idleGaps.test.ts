/** How long an idle replica is worth keeping. */
import fc from 'fast-check';
import IdleGaps from '../src/IdleGaps';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);
const LIMIT_MS = 300_000;
const UNKNOWN_MS = 60_000;

const usedWith = (gapsMs: readonly number[]): IdleGaps => {
  const gaps = new IdleGaps();
  let nowMs = 0;
  gaps.recordUse(nowMs);
  gapsMs.forEach((gapMs) => {
    nowMs += gapMs;
    gaps.recordUse(nowMs);
  });
  return gaps;
};

/** What keeping for `keepMs` costs over the gaps: idle time, and reloads at their worth. */
const costMs = (gapsMs: readonly number[], keepMs: number, reloadWorthMs: number): number =>
  gapsMs
    .map((gapMs) => (gapMs <= keepMs ? gapMs : keepMs + reloadWorthMs))
    .reduce((a, b) => a + b, 0);

describe('a keep-alive', () => {
  test('lets go at once what comes back after longer than its reload is worth', () => {
    expect(usedWith(Array(6).fill(600_000)).keepAliveMs(LIMIT_MS, 40_000, UNKNOWN_MS)).toBe(0);
  });

  test('lasts over gaps that are shorter than the reload is worth', () => {
    expect(usedWith(Array(6).fill(30_000)).keepAliveMs(LIMIT_MS, 40_000, UNKNOWN_MS)).toBe(30_000);
  });

  test('covers the short gaps of a mix only', () => {
    const mix = [5_000, 5_000, 5_000, 900_000, 5_000, 5_000, 5_000, 900_000];
    expect(usedWith(mix).keepAliveMs(1_000_000, 40_000, UNKNOWN_MS)).toBe(5_000);
  });

  test('is the given one while little is known', () => {
    expect(usedWith([5_000]).keepAliveMs(LIMIT_MS, 40_000, UNKNOWN_MS)).toBe(UNKNOWN_MS);
  });

  test('costs no more than any other keep-alive on the gaps seen', () => {
    const gap = fc.integer({ min: 1_000, max: LIMIT_MS });
    const gapsOf = fc.array(gap, { minLength: 5, maxLength: 32 });
    fc.assert(
      fc.property(gapsOf, gap, gap, (gapsMs, reloadWorthMs, otherMs) => {
        const keepMs = usedWith(gapsMs).keepAliveMs(LIMIT_MS, reloadWorthMs, UNKNOWN_MS);
        const cost = costMs(gapsMs, keepMs, reloadWorthMs);
        expect(cost).toBeLessThanOrEqual(costMs(gapsMs, otherMs, reloadWorthMs));
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
