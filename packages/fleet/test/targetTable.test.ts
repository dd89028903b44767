/** Guards what an instance knows of targets, from entries that lag behind orders and from placement updates. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { type PlacementUpdate, TargetTable } from '../src';
import isEnding from '../src/isEnding';
import builders from './support/builders';

const update = (more: Pick<PlacementUpdate, 'stamp' | 'models'>): PlacementUpdate => ({
  target: 'one',
  bornMs: 1,
  loading: null,
  busyForMs: 0,
  ...more,
});

const start = () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const ids = (model: string) => table.holding('guides', model, null).map(({ entry }) => entry.id);
  return { clock, table, ids };
};

describe('the target table', () => {
  test('placement updates take precedence over entries for a while, because entries lag', async () => {
    const { clock, table, ids } = start();
    table.applyEntry(builders.target('one', ['a']));
    table.applyPlacement(update({ stamp: [1, 1], models: [['b', []]] }));
    table.applyEntry(builders.target('one', ['a'], { entryNumber: 2 }));
    expect([ids('a'), ids('b')]).toEqual([[], ['one']]);
    await clock.advance(3_000);
    table.applyEntry(builders.target('one', ['c'], { entryNumber: 3 }));
    expect([ids('b'), ids('c')]).toEqual([[], ['one']]);
  });

  test.each(['guides', 'desk'])(
    'a target whose address a later one of the pool %s has taken gets no new work, before its entry lapses',
    (pool) => {
      const { table, ids } = start();
      table.applyEntry(builders.target('ended', ['a'], { address: '10.0.0.1:1' }));
      table.applyEntry(builders.target('other', ['a'], { address: '10.0.0.2:1' }));
      const next = builders.target('next', [], { address: '10.0.0.1:1', bornMs: 2, pool });
      table.applyEntry(next);
      expect(ids('a')).toEqual(['other']);
      table.remove(next.id);
      expect(ids('a')).toEqual(['ended', 'other']);
    },
  );

  test('an address that another entry claims does not empty a pool', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('only', ['a']));
    table.applyEntry(builders.target('forged', [], { bornMs: 2, pool: 'desk' }));
    expect(ids('a')).toEqual(['only']);
  });

  test('an entry that is older than the known one is ignored', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('one', ['b'], { entryNumber: 5 }));
    table.applyEntry(builders.target('one', ['a'], { entryNumber: 4 }));
    expect([ids('a'), ids('b')]).toEqual([[], ['one']]);
  });

  test('a target whose entry was overwritten is believed again after three entries in a row', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('one', ['a'], { entryNumber: 5 }));
    table.applyEntry(builders.target('one', ['forged'], { entryNumber: 9_000, bornMs: 9_000 }));
    [6, 7].forEach((entryNumber) =>
      table.applyEntry(builders.target('one', ['a'], { entryNumber })),
    );
    expect(ids('a')).toEqual([]);
    table.applyEntry(builders.target('one', ['a'], { entryNumber: 8 }));
    expect(ids('a')).toEqual(['one']);
  });

  test.each([{ pool: 'desk' }, { failureDomain: 'b' }])(
    'an entry of another writer does not move a target within its life: %j',
    (more) => {
      const { table, ids } = start();
      table.applyEntry(builders.target('one', ['a'], { entryNumber: 5 }));
      const forged = builders.target('one', ['a'], { ...more, entryNumber: 6, coldLeftMs: 9 });
      expect(table.hasLongerColdTime(forged)).toBe(false);
      expect([1, 2, 3, 4].map(() => table.applyEntry(forged))).toEqual(Array(4).fill(false));
      expect(ids('a')).toEqual(['one']);
      expect(table.get('one')?.entry.failureDomain).toBe('a');
      expect(table.applyEntry(builders.target('one', ['a'], { entryNumber: 6 }))).toBe(true);
    },
  );

  test('a target whose first entry was of another writer is found after three entries in a row', () => {
    const { table } = start();
    table.applyEntry(builders.target('one', [], { failureDomain: 'b', entryNumber: 4 }));
    const applied = [5, 6, 7].map((entryNumber) =>
      table.applyEntry(builders.target('one', [], { entryNumber })),
    );
    expect(applied).toEqual([false, false, true]);
    expect(table.get('one')?.entry.failureDomain).toBe('a');
  });

  test('a target may start anew in another failure domain', () => {
    const { table } = start();
    table.applyEntry(builders.target('one', []));
    table.applyEntry(builders.target('one', [], { bornMs: 2, failureDomain: 'b' }));
    expect(table.get('one')?.entry.failureDomain).toBe('b');
  });

  test('a target that restarted under the same id holds what its new entry says', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('one', ['a'], { entryNumber: 50 }));
    table.applyEntry(builders.target('one', [], { bornMs: 2, entryNumber: 1 }));
    expect(ids('a')).toEqual([]);
  });

  test('a placement update from before a restart of the engine is ignored', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('one', [], { bornMs: 2 }));
    table.applyPlacement(update({ stamp: [9, 9], models: [['a', []]] }));
    expect(ids('a')).toEqual([]);
  });

  test('leaving targets and targets in drained failure domains get no work', () => {
    const { table, ids } = start();
    table.applyEntry(builders.target('one', ['a'], { isLeaving: true }));
    table.applyEntry(builders.target('two', ['a'], { failureDomain: 'b' }));
    table.setDrainedDomains(new Set(['b']));
    expect(ids('a')).toEqual([]);
  });

  describe('a draining target that announced its end', () => {
    const ending = (entryNumber: number, remainingMs?: number | null) =>
      builders.target('one', ['a'], { isLeaving: true, entryNumber, remainingMs });

    test('is gone at that time, whatever its later entries repeat of it', async () => {
      const { clock, table, ids } = start();
      table.applyEntry(ending(1, 5_000));
      expect(ids('a')).toEqual([]);
      const { goneAtMs } = table.get('one')!;
      expect(goneAtMs).toBe(clock.nowMs() + 5_000);
      await clock.advance(2_000);
      table.applyEntry(ending(2, 3_000));
      expect(table.get('one')!.goneAtMs).toBe(goneAtMs);
    });

    test('is told to the peers again only if it is gone earlier than they know', async () => {
      const { clock, table } = start();
      table.applyEntry(ending(1));
      expect(table.hasNewContent(ending(2, 5_000))).toBe(true);
      table.applyEntry(ending(2, 5_000));
      await clock.advance(1_000);
      expect(table.hasNewContent(ending(3, 3_990))).toBe(false);
      expect(table.hasNewContent(ending(3, 1_000))).toBe(true);
    });

    test.each([
      ['no time', builders.target('one', ['a'], { isLeaving: true, entryNumber: 2 })],
      ['an unusable time', ending(2, null)],
      ['a time though it does not drain', { ...ending(2, 10), isLeaving: false }],
    ])('has no known end if its entry states %s', (_, entry) => {
      const { table } = start();
      table.applyEntry(ending(1, 5_000));
      table.applyEntry(entry);
      expect(isEnding(table.get('one'))).toBe(false);
    });

    test('goes on if it starts anew', () => {
      const { table, ids } = start();
      table.applyEntry(ending(1, 5_000));
      table.applyEntry(builders.target('one', ['a'], { bornMs: 2 }));
      expect([isEnding(table.get('one')), ids('a')]).toEqual([false, ['one']]);
    });
  });

  test('a model that an engine refused counts as absent there for a while', async () => {
    const { clock, table, ids } = start();
    table.applyEntry(builders.target('one', ['a']));
    table.markAbsent('one', 'a', null);
    expect(ids('a')).toEqual([]);
    await clock.advance(1_100);
    expect(ids('a')).toEqual(['one']);
  });

  test('repeated placement updates and entries wake no waiting requests', async () => {
    const { clock, table } = start();
    let woken = 0;
    const count = async () => {
      for (;;) {
        await table.changes.next();
        woken += 1;
      }
    };
    void count();
    table.applyEntry(builders.target('one', ['a']));
    await clock.advance(10);
    for (let number = 1; number <= 5; number += 1) {
      table.applyPlacement(update({ stamp: [1, number], models: [['a', []]] }));
      table.applyEntry(builders.target('one', ['a'], { entryNumber: 1 + number }));
      await clock.advance(10);
    }
    table.applyPlacement(update({ stamp: [1, 6], models: [['a', ['a1']]] }));
    await clock.advance(10);
    expect(woken).toBe(2);
  });
});
