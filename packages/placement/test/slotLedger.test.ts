/** A target's slots follow whose requests wait where. */
import type { Clock } from '@wisteriapath/model';
import SlotLeases from '../src/SlotLeases';

const WINDOW = 16;
const clock: Clock = { nowMs: () => 0, sleep: () => Promise.resolve() };

/** Holders that renew in turns and use at once what they are granted. */
const renewInTurns = (ledger: SlotLeases, wants: Readonly<Record<string, [string, number]>>) => {
  const held = new Map<string, number>();
  for (let turn = 0; turn < 12; turn += 1) {
    Object.entries(wants).forEach(([holder, [workspace, slots]]) => {
      const heldSlots = held.get(holder) ?? 0;
      const demand = [{ workspace, weight: 1, slots }];
      const ask = { holder, wantSlots: slots, demand, inflight: 0, heldSlots, assetIds: [] };
      held.set(holder, ledger.grant(ask, WINDOW));
    });
  }
  return Object.fromEntries(held);
};

describe('a slot ledger', () => {
  test('gives a calm workspace what it asks for beside a flood through three instances', () => {
    const held = renewInTurns(new SlotLeases(clock, 2_000), {
      'entry-a1': ['flood', 30],
      'entry-b1': ['flood', 30],
      'entry-c1': ['flood', 30],
      'entry-d1': ['calm', 6],
    });
    expect(held['entry-d1']).toBe(6);
    expect(Object.values(held).reduce((a, b) => a + b, 0)).toBeLessThanOrEqual(WINDOW);
  });

  test('sets no limit while there is enough for everybody', () => {
    const held = renewInTurns(new SlotLeases(clock, 2_000), {
      'entry-a1': ['flood', 10],
      'entry-b1': ['calm', 6],
    });
    expect(held).toEqual({ 'entry-a1': 10, 'entry-b1': 6 });
  });
});
