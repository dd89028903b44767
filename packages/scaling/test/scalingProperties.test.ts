/** What holds whatever demand does: no oscillation, no number beyond the limits, no engine given up that was just needed. */
import fc from 'fast-check';
import ScaledService from './support/ScaledService';
import views from './support/views';

const { bootMs, limits, placesPerEngine, firstLoadMs, windowMs } = views;
const DURATION_MS = 240_000;

/** Demand in steps, each for a while. */
const demand = fc.array(
  fc.record({
    busy: fc.integer({ min: 0, max: limits.max * placesPerEngine * 2 }),
    forMs: fc.integer({ min: 500, max: 60_000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

const busyAt =
  (steps: readonly { readonly busy: number; readonly forMs: number }[]) =>
  (atMs: number): number => {
    let endMs = 0;
    return (
      steps.find(({ forMs }) => {
        endMs += forMs;
        return atMs < endMs;
      }) ?? steps.at(-1)!
    ).busy;
  };

const runWith = (engines: number, steps: Parameters<typeof busyAt>[0]): ScaledService => {
  const service = new ScaledService(engines);
  service.run(DURATION_MS, busyAt(steps));
  return service;
};

const engines = fc.integer({ min: limits.min, max: limits.max });

test('no number is beyond the limits, and none is ordered twice in a row', () => {
  fc.assert(
    fc.property(engines, demand, (count, steps) => {
      runWith(count, steps).orders.forEach(({ desired, before }) => {
        expect(desired).toBeGreaterThanOrEqual(limits.min);
        expect(desired).toBeLessThanOrEqual(limits.max);
        expect(desired).not.toBe(before);
      });
    }),
  );
});

test('engines are given up one at a time, with room to spare for the peak of the last two boots', () => {
  fc.assert(
    fc.property(engines, demand, (count, steps) => {
      const { orders, demands } = runWith(count, steps);
      orders
        .filter(({ desired, before }) => desired < before)
        .forEach(({ atMs, desired, before }) => {
          expect(before - desired).toBe(1);
          const peak = Math.max(
            ...demands
              .filter((one) => one.atMs <= atMs && one.atMs > atMs - 2 * bootMs)
              .map(({ busy }) => busy),
          );
          expect(peak).toBeLessThanOrEqual((desired * placesPerEngine) / 2);
        });
    }),
  );
});

test('an order is undone only after demand has been different for a boot and a load of weights', () => {
  fc.assert(
    fc.property(engines, demand, (count, steps) => {
      const { orders } = runWith(count, steps);
      orders.slice(1).forEach((order, index) => {
        const last = orders[index];
        const isUndone =
          Math.sign(order.desired - order.before) !== Math.sign(last.desired - last.before);
        if (isUndone) expect(order.atMs - last.atMs).toBeGreaterThanOrEqual(bootMs + firstLoadMs);
      });
    }),
  );
});

test('bursts that are shorter than a boot change nothing', () => {
  const bursts = fc.array(
    fc.record({
      pauseMs: fc.integer({ min: 500, max: 20_000 }),
      forMs: fc.integer({ min: 500, max: bootMs - 500 }),
      busy: fc.integer({ min: 0, max: 2_000 }),
    }),
    { minLength: 1, maxLength: 10 },
  );
  fc.assert(
    fc.property(
      engines,
      fc.double({ min: 0.5, max: 0.85, noNaN: true }),
      bursts,
      (count, fill, all) => {
        const usual = Math.floor(count * placesPerEngine * fill);
        const steps = all.flatMap(({ pauseMs, forMs, busy }) => [
          { busy: usual, forMs: pauseMs },
          { busy: usual + busy, forMs },
        ]);
        expect(runWith(count, [...steps, { busy: usual, forMs: 1 }]).orders).toEqual([]);
      },
    ),
  );
});

test('a load that stays gets its engines within the window, and keeps them', () => {
  fc.assert(
    fc.property(
      engines,
      fc.integer({ min: 1, max: limits.max * placesPerEngine }),
      (count, busy) => {
        const { orders } = runWith(count, [{ busy, forMs: DURATION_MS }]);
        const isFull = busy > count * placesPerEngine * 0.85 && count < limits.max;
        const added = orders.filter(({ desired, before }) => desired > before);
        expect(added.length).toBe(isFull ? 1 : 0);
        if (isFull) expect(added[0].atMs).toBeLessThanOrEqual(windowMs + 1_000);
        // Nothing that was added is given up again.
        if (isFull) expect(orders.length).toBe(1);
      },
    ),
  );
});
