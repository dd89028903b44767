import type { Clock } from '@wisteriapath/model';
import { TargetTable, WaitingRequests } from '@wisteriapath/fleet';
import type EdgeDependencies from '../../src/EdgeDependencies';
import createTargetLoads from './createTargetLoads';

/** Creates what the search for a target needs, in failure domain `a`; `replaced` stands in place of single parts. */
const createFinderDeps = (
  clock: Clock,
  table = new TargetTable(clock),
  replaced: object = {},
): EdgeDependencies =>
  ({
    clock,
    table,
    waiting: new WaitingRequests(clock, () => {}),
    sendCutoffAtMs: () => Infinity,
    loads: createTargetLoads(clock, table),
    coldTargetLimiter: { tryTake: () => true },
    connectionLimit: (maxConnections: number) => maxConnections,
    failureDomain: 'a',
    ...replaced,
  }) as unknown as EdgeDependencies;

export default createFinderDeps;
