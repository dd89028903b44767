/** What crashes targets is stopped after few crashes, and nothing else is stopped for long. */
import fc from 'fast-check';
import { SuspectDecision } from '../src';
import support from './support/registries';

const FIRST_PROBE_MS = 8_000;
const LONGEST_PROBE_MS = 600_000;

const { MAX_TRAITS, createSingle, createFleet, crash, check } = support;

describe('a part that crashes targets', () => {
  test('is refused everywhere after two crashes, and those that share all else are served', () => {
    const { registries, deliver } = createFleet(3);
    const [one, other, third] = registries;
    third.recordAnswer(['first', 'subject']);
    crash(one, 'crash-1', ['request-1', 'first', 'subject', 'deadly'], 0);
    crash(other, 'crash-2', ['request-2', 'first', 'subject', 'deadly'], 0);
    deliver();
    third.recordAnswer(['first', 'subject']);
    deliver();
    registries.forEach((registry) => {
      expect(check(registry, 'request-3', 'first', 'subject', 'deadly')).toBe(
        SuspectDecision.Refused,
      );
      expect(check(registry, 'request-4', 'first', 'subject')).toBe(SuspectDecision.Clear);
    });
  });

  test('is not told from what came with it each time until a request without it has been tried', () => {
    const { registries, deliver } = createFleet(2);
    const [one, other] = registries;
    crash(one, 'crash-1', ['first', 'deadly'], 0);
    crash(one, 'crash-2', ['first', 'deadly'], 0);
    deliver();
    expect(check(other, 'first', 'deadly')).toBe(SuspectDecision.Refused);
    expect(check(other, 'first')).toBe(SuspectDecision.Probe);
    other.claimProbe(['first']);
    deliver();
    expect(check(one, 'first')).toBe(SuspectDecision.Wait);
    other.recordAnswer(['first']);
    deliver();
    expect(check(one, 'first')).toBe(SuspectDecision.Clear);
    expect(check(one, 'first', 'deadly')).toBe(SuspectDecision.Refused);
  });

  test('crashes few targets however its requests come, and is tried more and more rarely', () => {
    const arrivals = fc.array(fc.record({ instance: fc.nat(6), afterMs: fc.nat(2_000) }), {
      minLength: 200,
      maxLength: 400,
    });
    fc.assert(
      fc.property(arrivals, (requests) => {
        const { clock, registries, deliver } = createFleet(7);
        let crashes = 0;
        requests.forEach(({ instance, afterMs }, number) => {
          clock.now += afterMs;
          const registry = registries[instance];
          const traits = [`request-${number}`, 'deadly'];
          const decision = check(registry, ...traits);
          if (decision !== SuspectDecision.Clear && decision !== SuspectDecision.Probe) return;
          if (decision === SuspectDecision.Probe) registry.claimProbe(traits);
          crashes += 1;
          crash(registry, `crash-${crashes}`, traits, clock.now);
          deliver();
        });
        const delaysMs = [8_000, 32_000, 128_000, 512_000];
        const probes = delaysMs.filter(
          (_, count) => delaysMs.slice(0, count + 1).reduce((sum, ms) => sum + ms, 0) < clock.now,
        );
        expect(crashes).toBeLessThanOrEqual(2 + probes.length);
      }),
    );
  });

  test('is refused again by an instance that starts anew, once a peer repeats its quarantines', () => {
    const { clock, registries, deliver } = createFleet(2);
    crash(registries[0], 'crash-1', ['deadly'], 0);
    crash(registries[0], 'crash-2', ['deadly'], 0);
    deliver();
    clock.now = 1_000;
    const restarted = createSingle(clock);
    restarted.merge(registries[1].repeatQuarantines()!);
    expect(restarted.check(['deadly'])).toEqual({
      decision: SuspectDecision.Refused,
      waitMs: FIRST_PROBE_MS - 1_000,
    });
  });
});

describe('without a part that crashes targets', () => {
  test('one crash of many targets at once quarantines nothing that was answered before', () => {
    const { clock, registries, deliver } = createFleet(3);
    registries.forEach((registry) => registry.recordAnswer(['first']));
    clock.now = 1_000;
    Array.from({ length: 8 }, (_, target) =>
      crash(registries[target % 3], `crash-${target}`, ['first'], 900),
    );
    deliver();
    expect(registries.map((registry) => check(registry, 'first'))).toEqual(
      Array(3).fill(SuspectDecision.Clear),
    );
  });

  test('broken connections to two targets that live quarantine nothing, and those to three do', () => {
    const { clock } = createFleet(1);
    const registry = createSingle(clock);
    const breakAt = (crashId: string, hasEnded = false) =>
      registry.recordCrash({ crashId, hasEnded, traits: ['request-1'], sentAtMs: 0 });
    ['target-1', 'target-2', 'target-2'].forEach((target) => breakAt(target));
    expect(check(registry, 'request-1')).toBe(SuspectDecision.Clear);
    breakAt('target-3');
    expect(check(registry, 'request-1')).toBe(SuspectDecision.Refused);
  });

  test('a crash that several instances report counts once', () => {
    const { registries, deliver } = createFleet(3);
    registries.forEach((registry) => crash(registry, 'crash-1', ['first'], 0));
    deliver();
    expect(check(registries[0], 'first')).toBe(SuspectDecision.Clear);
  });

  const step = fc.oneof(
    fc.record({
      kind: fc.constant('crash' as const),
      at: fc.nat(2),
      trait: fc.nat(3),
      id: fc.nat(9),
    }),
    fc.record({
      kind: fc.constant('answer' as const),
      at: fc.nat(2),
      trait: fc.nat(3),
      id: fc.nat(9),
    }),
    fc.record({
      kind: fc.constant('deliver' as const),
      at: fc.nat(2),
      trait: fc.nat(3),
      id: fc.nat(9),
    }),
    fc.record({
      kind: fc.constant('lose' as const),
      at: fc.nat(2),
      trait: fc.nat(3),
      id: fc.nat(9),
    }),
  );

  test('no trait is refused for good, whatever the order of crashes, answers and updates', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { clock, registries, waiting, deliver } = createFleet(3);
        const handlers = {
          crash: (at: number, trait: string, id: number) =>
            crash(registries[at], `crash-${id}`, [trait], clock.now - 100),
          answer: (at: number, trait: string) => registries[at].recordAnswer([trait]),
          deliver,
          lose: () => {
            waiting.splice(0);
          },
        };
        steps.forEach(({ kind, at, trait, id }) => {
          clock.now += 50;
          handlers[kind](at, `trait-${trait}`, id);
        });
        clock.now += LONGEST_PROBE_MS;
        registries.forEach((registry) => {
          for (let trait = 0; trait < 4; trait += 1) {
            expect([SuspectDecision.Clear, SuspectDecision.Probe]).toContain(
              check(registry, `trait-${trait}`),
            );
          }
        });
        registries[0].recordAnswer(Array.from({ length: 4 }, (_, trait) => `trait-${trait}`));
        // What was lost is repeated by heartbeats, and answered where it is refuted.
        for (let round = 0; round < 20; round += 1) {
          registries.forEach((registry, from) => {
            const told = registry.repeatQuarantines();
            if (told === null) return;
            registries.forEach((receiver, to) => {
              if (to === from) return;
              const missed = receiver.merge(told);
              if (missed !== undefined) registry.merge(missed);
            });
          });
        }
        registries.forEach((registry) => {
          for (let trait = 0; trait < 4; trait += 1) {
            expect([SuspectDecision.Clear, SuspectDecision.Probe]).toContain(
              check(registry, `trait-${trait}`),
            );
          }
        });
      }),
      { numRuns: 500 },
    );
  });

  test('updates that arrive in any order, and more than once, leave the same quarantines', () => {
    const { clock, registries, waiting } = createFleet(2);
    const trait = fc.constantFrom('a', 'b', 'c');
    const crashFact = fc.record({ kind: fc.constant('crash' as const), trait, id: fc.nat(5) });
    const clearance = fc.record({ kind: fc.constant('clearance' as const), trait, id: fc.nat(5) });
    const toUpdate = ({ kind, trait: name, id }: { kind: string; trait: string; id: number }) => {
      const crashId = `crash-${id}`;
      // Each crash at a time of its own, whoever tells of it.
      const report = {
        crashId,
        hasEnded: true,
        traits: [name],
        ageMs: 1_000 * (6 - id),
        sentBeforeMs: 100,
      };
      return {
        crashes: kind === 'crash' ? [report] : [],
        clearances: kind === 'crash' ? [] : [{ trait: name, crashIds: [crashId] }],
        probes: [],
      };
    };
    expect([registries.length, waiting.length]).toEqual([2, 0]);
    fc.assert(
      fc.property(
        fc.array(fc.oneof(crashFact, clearance), { maxLength: 20 }),
        fc.infiniteStream(fc.nat()),
        (facts, order) => {
          const shuffled = [...facts, ...facts]
            .map((fact) => ({ fact, key: order.next().value as number }))
            .sort((one, other) => one.key - other.key);
          const inOrder = createSingle(clock);
          const other = createSingle(clock);
          facts.forEach((fact) => inOrder.merge(toUpdate(fact)));
          shuffled.forEach(({ fact }) => other.merge(toUpdate(fact)));
          ['a', 'b', 'c'].forEach((name) =>
            expect(other.check([name])).toEqual(inOrder.check([name])),
          );
        },
      ),
      { numRuns: 1_000 },
    );
  });

  test('the state stays bounded, whatever is reported', () => {
    const { clock } = createFleet(1);
    const registry = createSingle(clock);
    for (let number = 0; number < 10 * MAX_TRAITS; number += 1) {
      crash(registry, 'crash-1', [`trait-${number}`], 0);
      crash(registry, 'crash-2', [`trait-${number}`], 0);
    }
    expect(registry.quarantinedCount).toBe(MAX_TRAITS);
    expect(JSON.stringify(registry.repeatQuarantines()).length).toBeLessThan(1_500);
  });

  test('a quarantine ends when no target has crashed for long', () => {
    const { clock } = createFleet(1);
    const registry = createSingle(clock);
    crash(registry, 'crash-1', ['part'], 0);
    crash(registry, 'crash-2', ['part'], 0);
    clock.now += 1_800_001;
    expect(registry.repeatQuarantines()).toBeNull();
    expect(check(registry, 'part')).toBe(SuspectDecision.Clear);
  });
});
