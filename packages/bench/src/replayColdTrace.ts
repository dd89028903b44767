import { applyEdit, type ConfigState, EditKind, emptyConfig } from '@wisteriapath/config';
import { Deadline, TableName, TargetKind } from '@wisteriapath/model';
import {
  assetsOf,
  Placer,
  placementDomains,
  type RetentionPolicy,
  RouteFeeder,
  type Slot,
  TargetOutcome,
} from '@wisteriapath/placement';
import { Just } from 'purify-ts';
import seedrandom from 'seedrandom';
import type ColdTrace from './ColdTrace';
import type Deployment from './Deployment';
import VirtualClock from './VirtualClock';
import VirtualEngine from './VirtualEngine';
import VirtualStore from './VirtualStore';

interface Plan {
  readonly deployment: Deployment;
  readonly trace: ColdTrace;
  readonly retention: RetentionPolicy;
  readonly idleUnloadMs: number;
  /** Permits of the weight store that each failure domain has. */
  readonly storeLoadsAtOnce: number;
}

interface ColdStart {
  readonly waitMs: number;
  /** The least time for what was not ready, from its tiers when nothing else goes on. */
  readonly bareMs: number;
}

interface Replayed {
  /** Requests that waited for a load ordered after they came. */
  readonly coldStarts: readonly ColdStart[];
  readonly waitsMs: readonly number[];
  readonly refused: number;
  readonly loads: number;
  readonly decisions: number;
  /** Hours of one engine's whole memory held by replicas that nobody used. */
  readonly idleEngineHours: number;
}

const MEMORY_MB = 80_000;
const CAPACITY = 16;
const DISK_SHARE = 0.3;
const TRIP_MS = 1;
const LEASE_TERM_MS = 2_000;
const USABLE_MS = 1_900;
const HOUR_MS = 3_600_000;
const DEADLINE_MS = 60_000;
const POOL = 'engines';

const createConfig = ({ deployment, trace }: Plan): ConfigState => {
  const { failureDomains, engines } = deployment;
  const targets = Array.from({ length: engines }, (_unused, index) => {
    const failureDomain = failureDomains[index % failureDomains.length];
    const memory = { capacity: CAPACITY, memoryMb: MEMORY_MB, fencing: true };
    return [
      `engine-${index}`,
      { kind: TargetKind.Engine, url: `http://${index}`, failureDomain, ...memory },
    ];
  });
  const rows: [TableName, string, object][] = [
    [TableName.Pools, POOL, { maxReplicas: 2, targets: Object.fromEntries(targets) }],
    ...[...trace.routes].map(([name, route]): [TableName, string, object] => [
      TableName.Routes,
      name,
      route,
    ]),
  ];
  return rows.reduce<ConfigState>((state, [table, name, value], offset) => {
    const edit = { kind: EditKind.Set, table, name, expectedVersion: 0, value };
    return applyEdit(state, edit, offset) ?? state;
  }, emptyConfig);
};

const createEngines = ({ deployment, trace }: Plan, clock: VirtualClock): VirtualEngine[] => {
  const random = seedrandom(`tiers ${deployment.name}`);
  const store = new VirtualStore(clock, deployment.storeLoadsPerS);
  const assets = [...trace.routes.values()].flatMap(assetsOf).map((asset) => asset.id);
  return Array.from({ length: deployment.engines }, () => {
    const onDisk = [...new Set(assets)].filter(() => random() < DISK_SHARE);
    return new VirtualEngine(clock, store, new Set(onDisk));
  });
};

/**
 * Replays a trace through the placers and the instances' queues on a virtual clock.
 *
 * @example
 * const { coldStarts } = await replayColdTrace({ deployment, trace, retention, idleUnloadMs });
 */
const replayColdTrace = async (plan: Plan): Promise<Replayed> => {
  const { deployment, trace, retention, idleUnloadMs } = plan;
  const clock = new VirtualClock();
  const config = createConfig(plan);
  const engines = createEngines(plan, clock);
  const engineAt = (url: string) => engines[Number(url.slice('http://'.length))];
  let decisions = 0;
  const placers = new Map(
    deployment.failureDomains.map((failureDomain) => [
      failureDomain,
      new Placer({
        failureDomain,
        clock,
        retention,
        control: {
          report: (url) => Promise.resolve(Just(engineAt(url).report())),
          order: (url, order) => Promise.resolve(engineAt(url).order(order)),
        },
        config: () => config,
        heldEpoch: () => 1,
        mayOrderUnfenced: () => true,
        record: () => {
          decisions += 1;
          return Promise.resolve();
        },
        limits: {
          leaseTermMs: LEASE_TERM_MS,
          pollIntervalMs: 500,
          idleUnloadMs,
          kvFloorShare: 0.2,
          storeLoadsAtOnce: plan.storeLoadsAtOnce,
          adaptersInTransit: 10,
        },
      }),
    ]),
  );
  placers.forEach((placer) => placer.start());

  const feeders = new Map<string, RouteFeeder>();
  const feederOf = (instance: number, routeName: string): RouteFeeder => {
    const name = `${instance} ${routeName}`;
    const known = feeders.get(name);
    if (known !== undefined) return known;
    const route = trace.routes.get(routeName)!;
    const pool = config.tables[TableName.Pools].get(POOL)!.value as Parameters<
      typeof placementDomains
    >[2];
    const { failureDomains } = deployment;
    const own = failureDomains[instance % failureDomains.length];
    const feeder = new RouteFeeder({
      routeName,
      instance: `entry-${instance}`,
      clock,
      link: {
        acquire: async (domain, ask) => {
          await clock.sleep(TRIP_MS);
          return Just(await placers.get(domain)!.acquire(ask));
        },
      },
      domains: () => placementDomains(config, route, pool, own),
      usableMs: USABLE_MS,
      answerMarginMs: 150,
      placerGraceMs: () => 1_500,
    });
    feeders.set(name, feeder);
    return feeder;
  };

  const coldStarts: ColdStart[] = [];
  const waitsMs: number[] = [];
  let refused = 0;
  const serve = async (request: ColdTrace['requests'][number], slot: Slot): Promise<void> => {
    const engine = engineAt(slot.url);
    const assetIds = assetsOf(trace.routes.get(request.route)!).map((asset) => asset.id);
    const waitMs = clock.nowMs() - request.atMs;
    waitsMs.push(waitMs);
    const loads = assetIds.flatMap((id) => engine.loadOf(id) ?? []);
    const bareMs = loads
      .map((load) => Math.min(load.bareMs, load.orderedMs + load.bareMs - request.atMs))
      .reduce((sum, restMs) => sum + Math.max(0, restMs), 0);
    const isCold = loads.some(({ orderedMs }) => orderedMs >= request.atMs);
    if (isCold) coldStarts.push({ waitMs, bareMs });
    engine.use(assetIds, 1);
    await clock.sleep(request.serviceMs);
    engine.use(assetIds, -1);
    slot.release(TargetOutcome.Succeeded);
  };
  const ask = async (request: ColdTrace['requests'][number]): Promise<void> => {
    const slot = await feederOf(request.instance, request.route).acquire({
      workspace: 'bench',
      weight: 1,
      requestClass: trace.routes.get(request.route)!.requestClass,
      cost: 1,
      deadline: Deadline.after(clock, DEADLINE_MS),
      isExcluded: () => false,
      preferred: () => undefined,
    });
    if (slot.isLeft()) refused += 1;
    else await serve(request, slot.unsafeCoerce());
  };
  for (const request of trace.requests) {
    await clock.runUntil(request.atMs);
    void ask(request);
  }
  await clock.runUntil((trace.requests.at(-1)?.atMs ?? 0) + DEADLINE_MS);
  placers.forEach((placer) => placer.stop());
  engines.forEach((engine) => engine.count());
  const idleMbMs = engines.reduce((sum, engine) => sum + engine.idleMbMs, 0);
  return {
    coldStarts,
    waitsMs,
    refused,
    loads: engines.reduce((sum, engine) => sum + engine.loads, 0),
    decisions,
    idleEngineHours: idleMbMs / MEMORY_MB / HOUR_MS,
  };
};

export default replayColdTrace;
