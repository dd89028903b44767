/** Plays a burst of requests that can wait, beside urgent ones, and checks what callers get in the order of deferring pools and without it. */
import { sum } from '@wisteriapath/model';
import playHardLoad from './support/playHardLoad';

type Result = Awaited<ReturnType<typeof playHardLoad>>;

const SEEDS = [1, 2, 3, 4];
/** Share of the requests that can wait that must be in time, whatever the urgent ones ask for. */
const DRAFTS_IN_TIME_SHARE = 0.98;

beforeAll(() => {
  jest.useFakeTimers({ doNotFake: ['nextTick', 'queueMicrotask', 'performance', 'Date'] });
});

afterAll(() => {
  jest.useRealTimers();
});

const playAll = async (
  options: Omit<Parameters<typeof playHardLoad>[0], 'seed'>,
): Promise<readonly Result[]> => {
  const results: Result[] = [];
  for (const seed of SEEDS) results.push(await playHardLoad({ ...options, seed }));
  return results;
};

const total = (results: readonly Result[], count: (result: Result) => number) =>
  sum(results.map(count));

describe('a burst of drafts on idle models beside urgent requests', () => {
  let former: readonly Result[];
  let ordered: readonly Result[];

  beforeAll(async () => {
    former = await playAll({ isDeferring: false });
    ordered = await playAll({ isDeferring: true });
  });

  test('is a load under which urgent requests are refused without the order', () => {
    expect(total(former, ({ urgent }) => urgent.refused)).toBeGreaterThan(50);
  });

  test('costs no more than a third of the refusals of urgent requests in the order', () => {
    const before = total(former, ({ urgent }) => urgent.refused);
    expect(total(ordered, ({ urgent }) => urgent.refused)).toBeLessThan(before / 3);
  });

  test('makes no more urgent requests late or refused together in the order', () => {
    const before = total(former, ({ urgent }) => urgent.inTime);
    expect(total(ordered, ({ urgent }) => urgent.inTime)).toBeGreaterThanOrEqual(before);
  });

  test('leaves nearly all drafts in time in the order, and refuses none', () => {
    const arrived = total(ordered, ({ drafts }) => drafts.arrived);
    const inTime = total(ordered, ({ drafts }) => drafts.inTime);
    expect(inTime).toBeGreaterThanOrEqual(arrived * DRAFTS_IN_TIME_SHARE);
    expect(total(ordered, ({ drafts }) => drafts.refused)).toBe(0);
  });

  test('needs no more loads in the order', () => {
    const before = total(former, ({ loads }) => loads);
    expect(total(ordered, ({ loads }) => loads)).toBeLessThanOrEqual(before);
  });
});

describe('twice as many requests as the engines can load models for', () => {
  let waiting: readonly Result[];
  let forecast: readonly Result[];

  const answered = (results: readonly Result[]) =>
    total(results, ({ urgent }) => urgent.inTime + urgent.late);
  const meanRefusedWaitMs = (results: readonly Result[]) =>
    total(results, ({ urgent }) => urgent.refusedWaitMs) /
    total(results, ({ urgent }) => urgent.refused);

  beforeAll(async () => {
    const load = { isDeferring: true, rateFactor: 2 };
    waiting = await playAll(load);
    forecast = await playAll({ ...load, usesForecasts: true });
  });

  test('are refused earlier by the forecasts of the placers', () => {
    expect(total(forecast, ({ urgent }) => urgent.refusedEarly)).toBeGreaterThan(100);
    expect(meanRefusedWaitMs(forecast)).toBeLessThan(meanRefusedWaitMs(waiting) * 0.8);
  });

  test('are answered as often as without forecasts, within 1%', () => {
    expect(answered(forecast)).toBeGreaterThan(answered(waiting) * 0.99);
  });

  test('are not refused by forecasts if they can wait', () => {
    expect(total(forecast, ({ drafts }) => drafts.refusedEarly)).toBe(0);
  });
});
