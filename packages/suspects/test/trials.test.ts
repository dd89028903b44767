/** A request with a convicted trait is tried by one instance at a time, and a trial that decides nothing delays no other. */
import { SuspectVerdict } from '../src';
import support from './support/registries';

const FIRST_TRIAL_MS = 8_000;
const { createFleet, crash, judge } = support;

describe('a trial', () => {
  /** Creates a fleet that has convicted `part`, at the time from which it may be tried. */
  const createConvicted = (size: number) => {
    const created = createFleet(size);
    crash(created.registries[0], 'crash-1', ['part'], 0);
    crash(created.registries[0], 'crash-2', ['part'], 0);
    created.deliver();
    created.clock.now = FIRST_TRIAL_MS;
    return created;
  };

  test('that decides nothing lets others be tried at once', () => {
    const { registries, deliver } = createConvicted(2);
    const [one, other] = registries;
    const claim = one.claimTrial(['request-1', 'part']);
    deliver();
    expect(judge(other, 'part')).toBe(SuspectVerdict.Wait);
    one.endTrial(['request-1', 'part'], claim);
    expect(judge(one, 'part')).toBe(SuspectVerdict.Trial);
    deliver();
    expect(judge(other, 'part')).toBe(SuspectVerdict.Trial);
  });

  test('that has ended stays so where its claim arrives later', () => {
    const { registries, waiting } = createConvicted(2);
    const [one, other] = registries;
    one.endTrial(['part'], one.claimTrial(['part']));
    waiting
      .splice(0)
      .reverse()
      .forEach(({ update }) => other.merge(update));
    expect(judge(other, 'part')).toBe(SuspectVerdict.Trial);
  });

  test('that ends does not end another one', () => {
    const { registries, deliver } = createConvicted(3);
    const [one, other, third] = registries;
    const claim = one.claimTrial(['part']);
    other.claimTrial(['part']);
    deliver();
    one.endTrial(['part'], claim);
    deliver();
    expect(judge(third, 'part')).toBe(SuspectVerdict.Wait);
  });

  test('whose target crashes among many others is repeated soon, wherever the crashes were seen', () => {
    const { clock, registries, deliver } = createConvicted(3);
    registries[1].claimTrial(['part']);
    crash(registries[1], 'crash-3', ['part'], clock.now);
    Array.from({ length: 5 }, (_, target) =>
      crash(registries[target % 3], `wave-${target}`, [`request-${target}`], clock.now),
    );
    deliver();
    expect(registries.map((registry) => judge(registry, 'part'))).toEqual(
      Array(3).fill(SuspectVerdict.Refused),
    );
    clock.now += 5_000;
    expect(registries.map((registry) => judge(registry, 'part'))).toEqual(
      Array(3).fill(SuspectVerdict.Trial),
    );
  });

  test('crashes few targets though others crash all the while', () => {
    const { clock, registries, deliver } = createFleet(3);
    let crashes = 0;
    for (let step = 0; step < 2_000; step += 1) {
      clock.now += 20;
      crash(registries[step % 3], `other-${step}`, [`request-${step}`], clock.now);
      const registry = registries[(step * 7) % 3];
      const verdict = judge(registry, 'deadly');
      if (verdict === SuspectVerdict.Clear || verdict === SuspectVerdict.Trial) {
        if (verdict === SuspectVerdict.Trial) registry.claimTrial(['deadly']);
        crashes += 1;
        crash(registry, `crash-${crashes}`, ['deadly'], clock.now);
      }
      deliver();
    }
    // Two that convict, two that the others explain, and the trials of 40 s.
    expect(crashes).toBeLessThanOrEqual(6);
  });
});
