/** Which body gives way where a process holds too many bytes of all of them. */
import fc from 'fast-check';
import MemoryBudget from '../src/MemoryBudget';

const LIMIT_BYTES = 100;

const createBudget = () => new MemoryBudget(LIMIT_BYTES, () => {});

describe('the memory for bodies', () => {
  test('the largest body gives way, the others go on', () => {
    const budget = createBudget();
    const ended: string[] = [];
    const reserve = (name: string) => {
      const reservation = budget.reserve();
      reservation.onGiveWay = () => ended.push(name);
      return reservation;
    };
    const [small, large, other] = ['small', 'large', 'other'].map(reserve);
    expect([small.hold(10), large.hold(80), other.hold(20)]).toEqual([true, true, true]);
    expect(ended).toEqual(['large']);
    expect(large.hold(1)).toBe(false);
    expect(budget.heldBytes).toBe(30);
  });

  test('a body that must not be ended does not give way', () => {
    const budget = createBudget();
    const sent = budget.reserve();
    expect(sent.hold(90)).toBe(true);
    const next = budget.reserve();
    next.onGiveWay = () => {};
    expect(next.hold(20)).toBe(false);
    expect(sent.hasGivenWay).toBe(false);
    sent.release();
    expect(budget.heldBytes).toBe(0);
  });

  test('no more than the limit is held, whatever is held and released', () => {
    const step = fc.record({ index: fc.nat(7), bytes: fc.nat(LIMIT_BYTES) });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const budget = createBudget();
        const all = Array.from({ length: 8 }, () => {
          const reservation = budget.reserve();
          reservation.onGiveWay = () => {};
          return reservation;
        });
        steps.forEach(({ index, bytes }) => {
          all[index].hold(bytes);
          const sum = all.reduce((total, one) => total + one.bytes, 0);
          expect(budget.heldBytes).toBe(sum);
          expect(sum).toBeLessThanOrEqual(LIMIT_BYTES);
        });
      }),
    );
  });
});

// Guards against memory of bodies that gave way which stays occupied until V8 collects it by itself.
test('what gave way is collected once it is over a quarter of the limit', async () => {
  let collections = 0;
  const collect = () => {
    collections += 1;
  };
  const budget = new MemoryBudget(LIMIT_BYTES, () => {}, collect);
  const drop = (bytes: number) => {
    const others = budget.reserve();
    others.hold(LIMIT_BYTES - 1);
    const reservation = budget.reserve();
    reservation.onGiveWay = () => {};
    reservation.hold(bytes);
    others.release();
  };
  const turn = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  drop(20);
  await turn();
  expect(collections).toBe(0);
  drop(20);
  drop(20);
  await turn();
  expect(collections).toBe(1);
  drop(20);
  await turn();
  expect(collections).toBe(1);
});
