/** Guards the keep-alive time that is calculated from the idle gaps of a replica. */
import fc from 'fast-check';
import IdleGaps from '../src/IdleGaps';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);
const LIMIT_MS = 300_000;
const DEFAULT_MS = 60_000;

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

/** Returns the cost of a keep-alive of `keepMs`: idle time, and the worth of the reloads. */
const costMs = (gapsMs: readonly number[], keepMs: number, reloadWorthMs: number): number =>
  gapsMs
    .map((gapMs) => (gapMs <= keepMs ? gapMs : keepMs + reloadWorthMs))
    .reduce((a, b) => a + b, 0);

describe('keepAliveMs', () => {
  test('is zero if all gaps are longer than the reload is worth', () => {
    expect(usedWith(Array(6).fill(600_000)).keepAliveMs(LIMIT_MS, 40_000, DEFAULT_MS)).toBe(0);
  });

  test('covers gaps that are shorter than the reload is worth', () => {
    expect(usedWith(Array(6).fill(30_000)).keepAliveMs(LIMIT_MS, 40_000, DEFAULT_MS)).toBe(30_000);
  });

  test('covers only the short gaps of a mix of short and long ones', () => {
    const mix = [5_000, 5_000, 5_000, 900_000, 5_000, 5_000, 5_000, 900_000];
    expect(usedWith(mix).keepAliveMs(1_000_000, 40_000, DEFAULT_MS)).toBe(5_000);
  });

  test('is the given default until enough gaps are recorded', () => {
    expect(usedWith([5_000]).keepAliveMs(LIMIT_MS, 40_000, DEFAULT_MS)).toBe(DEFAULT_MS);
  });

  test('costs no more than any other keep-alive on the recorded gaps', () => {
    const gap = fc.integer({ min: 1_000, max: LIMIT_MS });
    const gapsOf = fc.array(gap, { minLength: 5, maxLength: 32 });
    fc.assert(
      fc.property(gapsOf, gap, gap, (gapsMs, reloadWorthMs, otherMs) => {
        const keepMs = usedWith(gapsMs).keepAliveMs(LIMIT_MS, reloadWorthMs, DEFAULT_MS);
        const cost = costMs(gapsMs, keepMs, reloadWorthMs);
        expect(cost).toBeLessThanOrEqual(costMs(gapsMs, otherMs, reloadWorthMs));
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
