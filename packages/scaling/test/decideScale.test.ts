/** Guards that engines are added for demand that lasts, given up only with room to spare, and left alone in doubt. */
import { decideScale, type Observation, ScalingReason, type ScalingView } from '../src';
import views from './support/views';

const { over, nowMs, bootMs, memory, limits } = views;

const FULL = { busy: 96 };
const IDLE = { busy: 10 };

const nothing = (reason: ScalingReason) => ({ desired: undefined, reason });

test('a service whose engines are in use keeps its number', () => {
  expect(decideScale(over(() => ({})))).toEqual(nothing(ScalingReason.Peak));
});

describe('engines are added', () => {
  test('for a load that has filled all places for a boot and a load of weights', () => {
    // 96 requests fill three quarters of eight engines of 16 places.
    expect(decideScale(over(() => FULL))).toEqual({ desired: 8, reason: ScalingReason.Load });
  });

  test.each([250, 2_000, bootMs - 250, bootMs + views.firstLoadMs - 250])(
    'not for a burst of %d ms',
    (burstMs) => {
      const view = over((agoMs) => (agoMs <= burstMs ? { busy: 900, waiting: 90 } : {}));
      expect(decideScale(view)).toEqual(nothing(ScalingReason.Peak));
    },
  );

  test('not for a load that fell in between', () => {
    const view = over((agoMs) => (agoMs === 6_000 ? {} : FULL));
    expect(decideScale(view).desired).toBe(undefined);
  });

  test('not beyond the maximum', () => {
    expect(decideScale(over(() => ({ busy: 900 }))).desired).toBe(limits.max);
    const view = over(() => ({ busy: 900, ready: limits.max }));
    expect(decideScale(view)).toEqual(nothing(ScalingReason.AtMax));
  });

  test('not again while those that were ordered start', () => {
    const ordered = { count: 8, atMs: nowMs - 4_000 };
    expect(decideScale(over(() => FULL, { ordered })).desired).toBe(undefined);
  });

  test('not again while the order stands, though an engine never started', () => {
    const ordered = { count: 8, atMs: nowMs - 60_000 };
    const view = over(() => FULL, { ordered });
    expect(decideScale(view)).toEqual(nothing(ScalingReason.OrderStands));
  });

  test('beyond an order that stands, if the load needs more', () => {
    const ordered = { count: 8, atMs: nowMs - 4_000 };
    expect(decideScale(over(() => ({ busy: 120 }), { ordered })).desired).toBe(10);
  });

  test('up to the minimum, once there have been fewer for a whole window', () => {
    const few = { ready: 1, busy: 3 };
    expect(decideScale(over(() => few))).toEqual({ desired: 2, reason: ScalingReason.BelowMin });
    const view = over((agoMs) => (agoMs < 4_000 ? few : { busy: 3 }));
    expect(decideScale(view).desired).toBe(undefined);
  });

  describe('for models without room', () => {
    const short = { ...memory, inUseMb: memory.roomMb + 400 };

    test('by one, if requests have waited for models throughout', () => {
      const view = over(() => ({ waiting: 9 }), { memory: short });
      expect(decideScale(view)).toEqual({ desired: 7, reason: ScalingReason.Memory });
    });

    test.each([
      ['few requests wait', () => ({ waiting: 5 }), short],
      ['none waited for a moment', (agoMs: number) => ({ waiting: agoMs === 500 ? 0 : 9 }), short],
      ['there is room', () => ({ waiting: 9 }), memory],
      [
        'the part of this failure domain is less than half an engine',
        () => ({ waiting: 9 }),
        { ...memory, inUseMb: memory.roomMb + 100 },
      ],
    ])('not if %s', (_, seenAt, ofModels) => {
      expect(decideScale(over(seenAt, { memory: ofModels })).desired).toBe(undefined);
    });
  });
});

describe('an engine is given up', () => {
  test('if those that stay have room to spare', () => {
    expect(decideScale(over(() => IDLE))).toEqual({ desired: 5, reason: ScalingReason.Spare });
  });

  test.each<[string, (agoMs: number) => Partial<Observation>, Partial<ScalingView>, ScalingReason]>(
    [
      [
        'the peak of the last two boots needs it',
        (agoMs) => (agoMs === 15_000 ? { busy: 41 } : IDLE),
        {},
        ScalingReason.Peak,
      ],
      [
        'requests waited for models',
        (agoMs) => (agoMs === 2_000 ? { busy: 10, waiting: 40 } : IDLE),
        {},
        ScalingReason.Peak,
      ],
      [
        'demand rises',
        (agoMs) => ({ ...IDLE, ratePerS: agoMs < 1_000 ? 90 : 50 }),
        {},
        ScalingReason.Rising,
      ],
      ['nothing was asked for', () => ({ busy: 0, ratePerS: 0 }), {}, ScalingReason.NoDemand],
      ['there is the minimum', () => ({ ready: 2, busy: 1 }), {}, ScalingReason.AtMin],
      [
        'there is one, and the minimum is none',
        () => ({ ready: 1, busy: 1 }),
        { limits: { ...limits, min: 0 } },
        ScalingReason.AtMin,
      ],
      [
        'another one ended a while ago',
        (agoMs) => ({ ...IDLE, ready: agoMs > 9_000 ? 7 : 6 }),
        {},
        ScalingReason.Settling,
      ],
      [
        'another one leaves',
        (agoMs) => ({ ...IDLE, leaving: agoMs > 9_000 ? 1 : 0 }),
        {},
        ScalingReason.Settling,
      ],
      [
        'an order was given within the window',
        () => IDLE,
        { ordered: { count: 6, atMs: nowMs - 17_000 } },
        ScalingReason.Settling,
      ],
      [
        'the number was ordered before',
        () => IDLE,
        { ordered: { count: 5, atMs: nowMs - 60_000 } },
        ScalingReason.OrderStands,
      ],
      [
        'an engine has the only copy of a model',
        () => IDLE,
        { memory: { ...memory, soleCopies: 1 } },
        ScalingReason.SoleCopy,
      ],
      [
        'the models would have no room if each failure domain gave up one',
        () => IDLE,
        { memory: { ...memory, inUseMb: 1_300 } },
        ScalingReason.ModelsNeedRoom,
      ],
      [
        'there are far more than the maximum',
        () => ({ busy: 10, ready: 14 }),
        {},
        ScalingReason.AboveMax,
      ],
    ],
  )('not if %s', (_, seenAt, more, reason) => {
    expect(decideScale(over(seenAt, more))).toEqual(nothing(reason));
  });
});

describe('nothing is decided', () => {
  const whole = over(() => FULL);
  const { observations } = whole;
  test.each<[string, Partial<ScalingView>, ScalingReason]>([
    ['on an old list of engines', { viewAgeMs: 3_001 }, ScalingReason.ViewOld],
    ['on a list of unknown age', { viewAgeMs: Number.NaN }, ScalingReason.ViewOld],
    ['while the store is away', { isStoreReachable: false }, ScalingReason.StoreAway],
    ['without the reports of others', { reportingFraction: 0.8 }, ScalingReason.ReportsMissing],
    ['on an unknown number of reports', { reportingFraction: NaN }, ScalingReason.ReportsMissing],
    ['while the domain is out of service', { isOutOfService: true }, ScalingReason.OutOfService],
    ['without observations', { observations: [] }, ScalingReason.Observing],
    [
      'on a part of the window',
      { observations: observations.slice(observations.length / 2) },
      ScalingReason.Observing,
    ],
    [
      'after a gap',
      { observations: observations.filter((_, index) => index < 20 || index > 40) },
      ScalingReason.Observing,
    ],
    ['on old observations', { nowMs: nowMs + 3_500 }, ScalingReason.Observing],
    [
      'without engines',
      { observations: observations.map((one) => ({ ...one, ready: 0, places: 0 })) },
      ScalingReason.NoEngines,
    ],
  ])('%s', (_, more, reason) => {
    expect(decideScale({ ...whole, ...more })).toEqual(nothing(reason));
    const idle = over(() => IDLE);
    const own = more.observations === undefined ? {} : { observations: more.observations };
    expect(decideScale({ ...idle, ...more, ...own })).toEqual(nothing(reason));
  });
});
