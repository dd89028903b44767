import { Deadline, RequestClass, type Route, RouteKind } from '@wisteriapath/model';
import { expectedUsePolicy, TargetOutcome } from '@wisteriapath/placement';
import seedrandom from 'seedrandom';
import type Deployment from './Deployment';
import createVirtualSystem from './createVirtualSystem';
import percentile from './percentile';
import printRow from './printRow';

interface WorkspaceFigures {
  sent: number;
  answered: number;
  readonly waitsMs: number[];
}

interface Scenario {
  readonly name: string;
  /** Whether the flooding workspace sends all requests to one instance. */
  readonly isFloodOnOneInstance: boolean;
  /**
   * Whether queues schedule workspaces fairly; otherwise they treat all requests as of one
   * workspace.
   */
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
const WORKSPACE_RATE_PER_S = 2.4;
const FLOOD_FACTOR = 5;
const MEAN_SERVICE_MS = 2_000;
const WARM_UP_MS = 60_000;
const DURATION_MS = 600_000;
const SECOND_MS = 1_000;

const SCENARIOS: readonly Scenario[] = [
  { name: 'fair queues, flood through all', isFloodOnOneInstance: false, isFair: true },
  { name: 'fair queues, flood through one', isFloodOnOneInstance: true, isFair: true },
  { name: 'one queue by arrival, flood through all', isFloodOnOneInstance: false, isFair: false },
  { name: 'one queue by arrival, flood through one', isFloodOnOneInstance: true, isFair: false },
];

const runScenario = async ({
  isFloodOnOneInstance,
  isFair,
}: Scenario): Promise<readonly WorkspaceFigures[]> => {
  const random = seedrandom(SEED);
  const system = createVirtualSystem({
    deployment: DEPLOYMENT,
    routes: new Map([[ROUTE_NAME, ROUTE]]),
    retention: expectedUsePolicy,
    idleUnloadMs: 300_000,
    storeLoadsAtOnce: 4,
  });
  const { clock } = system;
  const figures = Array.from({ length: WORKSPACES }, (): WorkspaceFigures => ({
    sent: 0,
    answered: 0,
    waitsMs: [],
  }));
  const exponential = (mean: number) => -Math.log(1 - random()) * mean;
  const sendRequest = async (workspace: number, atMs: number): Promise<void> => {
    const isFlood = workspace === 0;
    const instance =
      isFlood && isFloodOnOneInstance ? 0 : Math.floor(random() * DEPLOYMENT.instances);
    const serviceMs = exponential(MEAN_SERVICE_MS);
    const slot = await system.queueOf(instance, ROUTE_NAME).acquire({
      workspace: isFair ? `workspace-${workspace}` : 'all',
      weight: 1,
      requestClass: RequestClass.Interactive,
      cost: 1,
      deadline: Deadline.after(clock, ROUTE.deadlineMs),
      isExcluded: () => false,
      findPreferred: () => undefined,
    });
    const isMeasured = atMs >= WARM_UP_MS;
    if (isMeasured) {
      figures[workspace].sent += 1;
      figures[workspace].waitsMs.push(clock.nowMs() - atMs);
    }
    if (slot.isLeft()) return;
    if (isMeasured) figures[workspace].answered += 1;
    await clock.sleep(serviceMs);
    slot.unsafeCoerce().release(TargetOutcome.Succeeded);
  };
  const arrivals = figures.flatMap((_served, workspace) => {
    const perS = workspace === 0 ? WORKSPACE_RATE_PER_S * FLOOD_FACTOR : WORKSPACE_RATE_PER_S;
    const times: { workspace: number; atMs: number }[] = [];
    for (let atMs = 0; atMs < DURATION_MS; atMs += exponential(SECOND_MS / perS)) {
      times.push({ workspace, atMs });
    }
    return times;
  });
  arrivals.sort((one, other) => one.atMs - other.atMs);
  for (const { workspace, atMs } of arrivals) {
    await clock.runUntil(atMs);
    void sendRequest(workspace, atMs);
  }
  await clock.runUntil(DURATION_MS + ROUTE.deadlineMs);
  system.stop();
  return figures;
};

/**
 * Prints the service that workspaces within their rate get while another sends five times its rate,
 * and all together exceed the capacity of the engines.
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
    const [flooding, ...compliant] = await runScenario(scenario);
    const share = ({ answered, sent }: WorkspaceFigures) => answered / sent;
    const [worst] = [...compliant].sort((one, other) => share(one) - share(other));
    const countedS = (DURATION_MS - WARM_UP_MS) / SECOND_MS;
    const cells = [
      scenario.name,
      `${(100 * share(worst)).toFixed(1)}% of ${worst.sent}`,
      percentile(worst.waitsMs, 99).toFixed(0),
      (flooding.answered / countedS / WORKSPACE_RATE_PER_S).toFixed(2),
    ];
    printRow(cells);
  }
};

export default measureFairness;
