/** What crashes targets is known again after all instances have stopped at once. */
import { systemClock } from '@wisteriapath/model';
import type { QuarantineRecord } from '@wisteriapath/fleet';
import { SuspectRegistry, SuspectDecision } from '@wisteriapath/suspects';
import QuarantineKeeper from '../src/QuarantineKeeper';

const MAX_WRITES = 64;

const createInstance = (kept: Map<string, QuarantineRecord>, isWriter: boolean) => {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, sleep: () => Promise.resolve() };
  const log = { event: () => {} };
  const keeper = new QuarantineKeeper({
    clock,
    wallClock: () => 5_000_000 + nowMs,
    log,
    isWriter: () => isWriter,
    store: {
      announce: () => Promise.resolve(true),
      saveQuarantine: (quarantine) => {
        kept.set(quarantine.trait, quarantine);
        return Promise.resolve(true);
      },
      list: () => Promise.resolve(undefined),
    },
  });
  const registry = new SuspectRegistry({
    clock,
    log,
    announce: () => {},
    onQuarantineChanged: (trait, crashes) => keeper.save(trait, crashes),
  });
  const crash = (crashId: string) =>
    registry.recordCrash({ crashId, hasEnded: true, traits: ['part:a1'], sentAtMs: nowMs });
  const pass = (ms: number) => {
    nowMs += ms;
  };
  return { keeper, registry, crash, pass };
};

test('an instance that starts anew refuses what was quarantined before, until the same time', async () => {
  const kept = new Map<string, QuarantineRecord>();
  const one = createInstance(kept, true);
  one.crash('crash-1');
  one.crash('crash-2');
  await systemClock.sleep(5);
  const restarted = createInstance(kept, false);
  restarted.pass(3_000);
  restarted.registry.merge(restarted.keeper.toUpdate([...kept.values()]));
  expect(restarted.registry.check(['part:a1'])).toEqual({
    decision: SuspectDecision.Refused,
    waitMs: 5_000,
  });
});

test('a clearance removes what was kept', async () => {
  const kept = new Map<string, QuarantineRecord>();
  const one = createInstance(kept, true);
  one.crash('crash-1');
  one.crash('crash-2');
  one.registry.recordAnswer(['part:a1']);
  await systemClock.sleep(5);
  expect(kept.get('part:a1')!.crashes).toEqual([]);
});

test('quarantines that come all at once are written in bounded number, the newest first kept', async () => {
  const kept = new Map<string, QuarantineRecord>();
  const { keeper } = createInstance(kept, true);
  const crashes = [{ crashId: 'crash-1', hasEnded: true, ageMs: 0, sentBeforeMs: 0 }];
  for (let number = 0; number < 1_000; number += 1) keeper.save(`part:${number}`, crashes);
  await systemClock.sleep(50);
  // One is under way while the others come.
  expect(kept.size).toBeLessThanOrEqual(MAX_WRITES + 1);
  expect(kept.has('part:999')).toBe(true);
});

test('an instance that gives no orders writes nothing', async () => {
  const kept = new Map<string, QuarantineRecord>();
  const one = createInstance(kept, false);
  one.crash('crash-1');
  one.crash('crash-2');
  await systemClock.sleep(5);
  expect(kept.size).toBe(0);
});
