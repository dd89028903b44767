/** A request with a quarantined trait is tried by one instance at a time, and a probe that decides nothing delays no other. */
import { SuspectDecision } from '../src';
import support from './support/registries';

const FIRST_PROBE_MS = 8_000;
const { createFleet, crash, check } = support;

describe('a probe', () => {
  /** Creates a fleet that has quarantined `part`, at the time from which it may be tried. */
  const createQuarantined = (size: number) => {
    const created = createFleet(size);
    crash(created.registries[0], 'crash-1', ['part'], 0);
    crash(created.registries[0], 'crash-2', ['part'], 0);
    created.deliver();
    created.clock.now = FIRST_PROBE_MS;
    return created;
  };

  test('that decides nothing lets others be tried at once', () => {
    const { registries, deliver } = createQuarantined(2);
    const [one, other] = registries;
    const claim = one.claimProbe(['request-1', 'part']);
    deliver();
    expect(check(other, 'part')).toBe(SuspectDecision.Wait);
    one.endProbe(['request-1', 'part'], claim);
    expect(check(one, 'part')).toBe(SuspectDecision.Probe);
    deliver();
    expect(check(other, 'part')).toBe(SuspectDecision.Probe);
  });

  test('that has ended stays so where its claim arrives later', () => {
    const { registries, waiting } = createQuarantined(2);
    const [one, other] = registries;
    one.endProbe(['part'], one.claimProbe(['part']));
    waiting
      .splice(0)
      .reverse()
      .forEach(({ update }) => other.merge(update));
    expect(check(other, 'part')).toBe(SuspectDecision.Probe);
  });

  test('that ends does not end another one', () => {
    const { registries, deliver } = createQuarantined(3);
    const [one, other, third] = registries;
    const claim = one.claimProbe(['part']);
    other.claimProbe(['part']);
    deliver();
    one.endProbe(['part'], claim);
    deliver();
    expect(check(third, 'part')).toBe(SuspectDecision.Wait);
  });

  test('whose target crashes among many others is repeated soon, wherever the crashes were seen', () => {
    const { clock, registries, deliver } = createQuarantined(3);
    registries[1].claimProbe(['part']);
    crash(registries[1], 'crash-3', ['part'], clock.now);
    Array.from({ length: 5 }, (_, target) =>
      crash(registries[target % 3], `wave-${target}`, [`request-${target}`], clock.now),
    );
    deliver();
    expect(registries.map((registry) => check(registry, 'part'))).toEqual(
      Array(3).fill(SuspectDecision.Refused),
    );
    clock.now += 5_000;
    expect(registries.map((registry) => check(registry, 'part'))).toEqual(
      Array(3).fill(SuspectDecision.Probe),
    );
  });

  test('crashes few targets though others crash all the while', () => {
    const { clock, registries, deliver } = createFleet(3);
    let crashes = 0;
    for (let step = 0; step < 2_000; step += 1) {
      clock.now += 20;
      crash(registries[step % 3], `other-${step}`, [`request-${step}`], clock.now);
      const registry = registries[(step * 7) % 3];
      const decision = check(registry, 'deadly');
      if (decision === SuspectDecision.Clear || decision === SuspectDecision.Probe) {
        if (decision === SuspectDecision.Probe) registry.claimProbe(['deadly']);
        crashes += 1;
        crash(registry, `crash-${crashes}`, ['deadly'], clock.now);
      }
      deliver();
    }
    // Two that quarantine, two that the others explain, and the probes of 40 s.
    expect(crashes).toBeLessThanOrEqual(6);
  });
});
