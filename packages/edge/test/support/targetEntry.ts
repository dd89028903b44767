import type { RegisteredTarget } from '@wisteriapath/fleet';

/** Creates the entry of an engine that holds the model `m`. */
const targetEntry = (more: Partial<RegisteredTarget> = {}): RegisteredTarget => ({
  id: 'target-0',
  bornMs: 1,
  pool: 'guides',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 8,
  isLeaving: false,
  coldLeftMs: 0,
  entryNumber: 1,
  models: new Map([['m', new Set<string>()]]),
  inMemory: new Set(),
  onDisk: new Set(),
  ...more,
});

export default targetEntry;
