/** Which loads compete with each other. */
import type DemandSnapshot from '../src/DemandSnapshot';
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
  });
  expect(ranked.map(({ model }) => model)).toEqual(['absent']);
});
