/**
 * Guards the invariants of the core protocols. Without one of the safety rules, the search must
 * find a counterexample, which shows that the invariants detect its absence.
 */
import { specs } from '../src';

const MAX_STATES = 300_000;

describe('specifications', () => {
  test.each(specs.sound)('$name: every reachable state keeps the invariants', ({ run }) => {
    expect(run(MAX_STATES)).toMatchObject({ complete: true, counterexample: null });
  });

  test('a counterexample is found for each removed rule', () => {
    const found = specs.mutations.map(({ name, run }) => {
      const { counterexample } = run(MAX_STATES);
      return [name, counterexample?.invariant, counterexample?.steps.length];
    });
    expect(found).toMatchInlineSnapshot(`
     [
       [
         "claims without: first claim wins",
         "a call runs at most once",
         8,
       ],
       [
         "claims without: read own claim before dispatch",
         "a call runs at most once",
         6,
       ],
       [
         "claims without: undo before giving up",
         "after a true "not run", a repeat can win",
         3,
       ],
       [
         "claims without: a claim is never taken over",
         "a call runs at most once",
         7,
       ],
       [
         "configuration without: unique ids",
         "an edit told as not made is not made",
         5,
       ],
       [
         "configuration without: cancel of an append of unknown outcome",
         "an edit told as not made is not made",
         3,
       ],
       [
         "placer without: fencing numbers checked",
         "a target's memory is never overcommitted",
         7,
       ],
       [
         "placer without: freezing of targets that ignore fencing",
         "a target's memory is never overcommitted",
         7,
       ],
       [
         "lease without: the era in a token",
         "a fencing token has one holder",
         8,
       ],
       [
         "lease without: only records of the present era are certain",
         "no two holders give orders within the handover delay",
         3,
       ],
       [
         "lease without: an append of another era takes no lease",
         "no two holders give orders within the handover delay",
         10,
       ],
       [
         "lease without: a holder whose authority ended gives up at a return",
         "no two holders give orders within the handover delay",
         10,
       ],
       [
         "lease without: the handover delay",
         "no two holders give orders within the handover delay",
         8,
       ],
       [
         "usage duty without: the decision is stored before the report",
         "a window has one content",
         13,
       ],
       [
         "usage duty without: a successor reads the decisions",
         "a window has one content",
         15,
       ],
       [
         "usage duty without: counts that were tried stay",
         "a window has one content",
         15,
       ],
       [
         "usage duty without: windows before a return are not decided again",
         "a window has one content",
         18,
       ],
       [
         "usage duty without: only decisions of the present era are sent again",
         "a window has one content",
         19,
       ],
       [
         "usage duty without: a report is reset with its authority",
         "a fencing token never falls",
         13,
       ],
     ]
    `);
  });
});
