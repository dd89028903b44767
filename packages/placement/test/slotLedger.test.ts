/** Guards that one workspace cannot take the slots of a target from others. */
import type { Clock } from '@wisteriapath/model';
import SlotLeases from '../src/SlotLeases';

const WINDOW = 16;
const clock: Clock = { nowMs: () => 0, sleep: () => Promise.resolve() };

/** Renews the leases of all holders in turns; each holder uses its grant at once. */
const renewInTurns = (leases: SlotLeases, wants: Readonly<Record<string, [string, number]>>) => {
  const held = new Map<string, number>();
  for (let turn = 0; turn < 12; turn += 1) {
    Object.entries(wants).forEach(([holder, [workspace, slots]]) => {
      const heldSlots = held.get(holder) ?? 0;
      const demand = [{ workspace, weight: 1, slots }];
      const request = { holder, wantSlots: slots, demand, inflight: 0, heldSlots, assetIds: [] };
      held.set(holder, leases.grant(request, WINDOW));
    });
  }
  return Object.fromEntries(held);
};

describe('SlotLeases', () => {
  test('grants a calm workspace all it requests beside a flood through three instances', () => {
    const held = renewInTurns(new SlotLeases(clock, 2_000), {
      'entry-a1': ['flood', 30],
      'entry-b1': ['flood', 30],
      'entry-c1': ['flood', 30],
      'entry-d1': ['calm', 6],
    });
    expect(held['entry-d1']).toBe(6);
    expect(Object.values(held).reduce((a, b) => a + b, 0)).toBeLessThanOrEqual(WINDOW);
  });

  test('sets no limit while the window covers the total demand', () => {
    const held = renewInTurns(new SlotLeases(clock, 2_000), {
      'entry-a1': ['flood', 10],
      'entry-b1': ['calm', 6],
    });
    expect(held).toEqual({ 'entry-a1': 10, 'entry-b1': 6 });
  });
});
