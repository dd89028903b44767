/** Which loads compete with each other. */
import type Demand from '../src/Demand';
import type DemandSnapshot from '../src/DemandSnapshot';
import type TargetView from '../src/TargetView';
import rankWaitingModels from '../src/rankWaitingModels';
import builders from './support/builders';

const { models } = builders.engineSpec('held', 'absent');

const demandFor = (model: string, adapter: string | null) => ({
  pool: 'guides',
  model,
  adapter,
  waiting: 20,
  waitedMs: 10,
  latencyTargetMs: 250,
});

test('requests for adapters of a held model do not compete with the load of an absent one', () => {
  const waiting = [demandFor('held', 'a1'), demandFor('absent', null)];
  const demand = { waiting, modelRates: new Map() } as unknown as DemandSnapshot;
  const ranked = rankWaitingModels(demand, {
    nowMs: 0,
    views: [],
    models,
    unservedMs: () => 0,
    isHeld: (model) => model === 'held',
    isDeferring: false,
  });
  expect(ranked.map(({ model }) => model)).toEqual(['absent']);
});

describe('in a deferring pool', () => {
  const COPY_LOAD_MS = 500;

  const rank = (
    waiting: readonly Partial<Demand>[],
    { isDeferring = true, unservedMs = 0, onDisk = ['a', 'b'] } = {},
  ) => {
    const entry = builders.target('engine-0', [], { onDisk: new Set(onDisk) });
    const views = [{ entry, droppedAtMs: new Map() } as unknown as TargetView];
    const demands = waiting.map((demand) => ({ ...demandFor('a', null), waiting: 1, ...demand }));
    const demand = { waiting: demands, modelRates: new Map() } as unknown as DemandSnapshot;
    return rankWaitingModels(demand, {
      nowMs: 0,
      views,
      models: builders.engineSpec('a', 'b').models,
      unservedMs: (model) => (model === 'a' ? unservedMs : 0),
      isHeld: () => false,
      isDeferring,
    }).map(({ model, canWait }) => ({ model, canWait }));
  };

  const draft = { model: 'a', latencyTargetMs: 5_000, waitedMs: 0, leftMs: 17_000 };
  const urgent = { model: 'b', latencyTargetMs: 250, waitedMs: 0, leftMs: 2_000 };
  const orderedDraft = { ...draft, priority: 2, slackMs: 5_000 - COPY_LOAD_MS };
  const orderedUrgent = { ...urgent, priority: 0, slackMs: 1_000 };

  test('an urgent request that is late goes before a draft that can wait', () => {
    expect(rank([orderedDraft, orderedUrgent])).toEqual([
      { model: 'b', canWait: false },
      { model: 'a', canWait: true },
    ]);
  });

  test('the same two go by the worth of their loads in any other pool', () => {
    expect(rank([orderedDraft, orderedUrgent], { isDeferring: false })).toEqual([
      { model: 'a', canWait: false },
      { model: 'b', canWait: false },
    ]);
  });

  test('a draft that is about to be late goes before one of the same kind with more time', () => {
    const late = { ...orderedDraft, model: 'b', slackMs: 300 };
    expect(rank([orderedDraft, late]).map(({ model }) => model)).toEqual(['b', 'a']);
  });

  test('demand of an earlier build is ranked by its other fields', () => {
    expect(rank([draft, urgent]).map(({ model }) => model)).toEqual(['b', 'a']);
  });

  test('a model whose callers all come back later does not starve', () => {
    const expired = { ...orderedDraft, slackMs: -4_000 };
    expect(rank([expired, orderedUrgent])[0].model).toBe('b');
    // One step of priority in 7.5 s asked for in vain: from 2 to -1.
    expect(rank([expired, orderedUrgent], { unservedMs: 22_500 })[0].model).toBe('a');
    const expiredUrgent = { ...expired, priority: 0 };
    expect(rank([expiredUrgent, orderedUrgent], { unservedMs: 8_000 })[0].model).toBe('a');
  });
});
