import type { EngineSpec, ModelSpec, RegisteredTarget } from '../../src';

const GB = 1_000;

const model = (name: string): ModelSpec => ({
  name,
  sizeMb: 70 * GB,
  adapterSizeMb: 60,
  storeLoadMs: 6_000,
  diskLoadMs: 500,
  memoryLoadMs: 400,
});

/** Builders of domain values for tests. */
const builders = {
  model,
  engineSpec: (...names: string[]): EngineSpec => ({
    weightsMb: 220 * GB,
    adapterSlots: 8,
    maxStoreLoadsPerS: 3,
    models: new Map(names.map((name) => [name, model(name)])),
  }),
  target: (id: string, models: readonly string[], more: Partial<RegisteredTarget> = {}) => ({
    id,
    bornMs: 1,
    pool: 'guides',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots: 64,
    isLeaving: false,
    coldLeftMs: 0,
    entryNumber: 1,
    models: new Map(models.map((name) => [name, new Set<string>()])),
    inMemory: new Set<string>(),
    onDisk: new Set<string>(),
    ...more,
  }),
};

export default builders;
