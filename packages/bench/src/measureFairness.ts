import { Deadline, RequestClass, type Route, RouteKind } from '@wisteriapath/model';
import { expectedUsePolicy, TargetOutcome } from '@wisteriapath/placement';
import seedrandom from 'seedrandom';
import type Deployment from './Deployment';
import createVirtualSystem from './createVirtualSystem';
import percentile from './percentile';
import printRow from './printRow';

interface Served {
  sent: number;
  answered: number;
  readonly waitsMs: number[];
}

interface Scenario {
  readonly name: string;
  /** Whether the flooding workspace reaches one instance only. */
  readonly isFloodAtOne: boolean;
  /** Whether queues tell workspaces apart. */
  readonly isFair: boolean;
}

const SEED = '20261204';
const DEPLOYMENT: Deployment = {
  name: 'one pool',
  engines: 2,
  models: 1,
  adapters: 0,
  failureDomains: ['khomas-a'],
  instances: 6,
  storeLoadsPerS: 3,
};
const ROUTE: Route = {
  kind: RouteKind.Model,
  model: 'cups-7b',
  modelMb: 14_000,
  adapter: null,
  adapterMb: 0,
  pool: 'engines',
  workspaces: [],
  open: true,
  idempotent: true,
  requestClass: RequestClass.Interactive,
  deadlineMs: 10_000,
  staleKeysLimitS: 60,
};
const ROUTE_NAME = 'cup-guide';
const WORKSPACES = 5;
const DUE_PER_S = 2.4;
const FLOOD_TIMES = 5;
const MEAN_SERVICE_MS = 2_000;
const WARM_MS = 60_000;
const DURATION_MS = 600_000;
const SECOND_MS = 1_000;

const SCENARIOS: readonly Scenario[] = [
  { name: 'fair queues, flood through all', isFloodAtOne: false, isFair: true },
  { name: 'fair queues, flood through one', isFloodAtOne: true, isFair: true },
  { name: 'one queue by arrival, flood through all', isFloodAtOne: false, isFair: false },
  { name: 'one queue by arrival, flood through one', isFloodAtOne: true, isFair: false },
];

const run = async ({ isFloodAtOne, isFair }: Scenario): Promise<readonly Served[]> => {
  const random = seedrandom(SEED);
  const system = createVirtualSystem({
    deployment: DEPLOYMENT,
    routes: new Map([[ROUTE_NAME, ROUTE]]),
    retention: expectedUsePolicy,
    idleUnloadMs: 300_000,
    storeLoadsAtOnce: 4,
  });
  const { clock } = system;
  const served = Array.from({ length: WORKSPACES }, (): Served => ({
    sent: 0,
    answered: 0,
    waitsMs: [],
  }));
  const exponential = (mean: number) => -Math.log(1 - random()) * mean;
  const ask = async (workspace: number, atMs: number): Promise<void> => {
    const isFlood = workspace === 0;
    const instance = isFlood && isFloodAtOne ? 0 : Math.floor(random() * DEPLOYMENT.instances);
    const serviceMs = exponential(MEAN_SERVICE_MS);
    const slot = await system.feederOf(instance, ROUTE_NAME).acquire({
      workspace: isFair ? `workspace-${workspace}` : 'all',
      weight: 1,
      requestClass: RequestClass.Interactive,
      cost: 1,
      deadline: Deadline.after(clock, ROUTE.deadlineMs),
      isExcluded: () => false,
      findPreferred: () => undefined,
    });
    const counts = atMs >= WARM_MS;
    if (counts) {
      served[workspace].sent += 1;
      served[workspace].waitsMs.push(clock.nowMs() - atMs);
    }
    if (slot.isLeft()) return;
    if (counts) served[workspace].answered += 1;
    await clock.sleep(serviceMs);
    slot.unsafeCoerce().release(TargetOutcome.Succeeded);
  };
  const arrivals = served.flatMap((_served, workspace) => {
    const perS = workspace === 0 ? DUE_PER_S * FLOOD_TIMES : DUE_PER_S;
    const times: { workspace: number; atMs: number }[] = [];
    for (let atMs = 0; atMs < DURATION_MS; atMs += exponential(SECOND_MS / perS)) {
      times.push({ workspace, atMs });
    }
    return times;
  });
  arrivals.sort((one, other) => one.atMs - other.atMs);
  for (const { workspace, atMs } of arrivals) {
    await clock.runUntil(atMs);
    void ask(workspace, atMs);
  }
  await clock.runUntil(DURATION_MS + ROUTE.deadlineMs);
  system.stop();
  return served;
};

/**
 * Prints how workspaces that keep to their rate fare beside one that sends five times its own, where
 * together they ask for more than the engines bear.
 *
 * @example
 * await measureFairness();
 */
const measureFairness = async (): Promise<void> => {
  process.stdout.write(
    '| queues | worst served: answered | its p99 wait ms | flooding: times its rate |\n',
  );
  process.stdout.write('| --- | --- | --- | --- |\n');
  for (const scenario of SCENARIOS) {
    const [flooding, ...calm] = await run(scenario);
    const share = ({ answered, sent }: Served) => answered / sent;
    const [worst] = [...calm].sort((one, other) => share(one) - share(other));
    const countedS = (DURATION_MS - WARM_MS) / SECOND_MS;
    const cells = [
      scenario.name,
      `${(100 * share(worst)).toFixed(1)}% of ${worst.sent}`,
      percentile(worst.waitsMs, 99).toFixed(0),
      (flooding.answered / countedS / DUE_PER_S).toFixed(2),
    ];
    printRow(cells);
  }
};

export default measureFairness;
