import { applyEdit, type ConfigState, EditKind, emptyConfig, getRow } from '@wisteriapath/config';
import { type Route, TableName, TargetKind } from '@wisteriapath/model';
import {
  assetsOf,
  Placer,
  placementDomains,
  type RetentionPolicy,
  RouteQueue,
} from '@wisteriapath/placement';
import VirtualClock from '@wisteriapath/virtual-clock';
import { Just } from 'purify-ts';
import seedrandom from 'seedrandom';
import type Deployment from './Deployment';
import VirtualEngine from './VirtualEngine';
import VirtualStore from './VirtualStore';

interface SystemOptions {
  readonly deployment: Deployment;
  readonly routes: ReadonlyMap<string, Route>;
  readonly retention: RetentionPolicy;
  readonly idleUnloadMs: number;
  /** Limit on concurrent loads from the weight store in each failure domain. */
  readonly storeLoadsAtOnce: number;
}

/** A simulated system and access to its parts. */
interface VirtualSystem {
  readonly clock: VirtualClock;
  readonly engines: readonly VirtualEngine[];
  /** Memory of each engine. */
  readonly memoryMb: number;
  /** Returns the engine with this base URL. */
  engineAt(url: string): VirtualEngine;
  /** Returns the queue of a route in an instance, and creates it on first use. */
  queueOf(instance: number, routeName: string): RouteQueue;
  /** Returns the number of decisions that the placers recorded. */
  decisionCount(): number;
  stop(): void;
}

const MEMORY_MB = 80_000;
const CAPACITY = 16;
const MAX_REPLICAS = 2;
/** Share of the checkpoints that are initially on the disk of an engine. */
const DISK_SHARE = 0.3;
const ROUND_TRIP_MS = 1;
const LEASE_TERM_MS = 2_000;
const SLOT_USABLE_MS = 1_900;
const POOL = 'engines';

const createConfig = ({ deployment, routes }: SystemOptions): ConfigState => {
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
    [TableName.Pools, POOL, { maxReplicas: MAX_REPLICAS, targets: Object.fromEntries(targets) }],
    ...[...routes].map(([name, route]): [TableName, string, object] => [
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

const createEngines = (
  { deployment, routes }: SystemOptions,
  clock: VirtualClock,
): VirtualEngine[] => {
  const random = seedrandom(`tiers ${deployment.name}`);
  const store = new VirtualStore(clock, deployment.storeLoadsPerS);
  const assets = [...routes.values()].flatMap(assetsOf).map((asset) => asset.id);
  return Array.from({ length: deployment.engines }, () => {
    const onDisk = [...new Set(assets)].filter(() => random() < DISK_SHARE);
    return new VirtualEngine(clock, store, new Set(onDisk));
  });
};

/**
 * Creates a simulated system on a virtual clock: a running placer for each failure domain, engines,
 * and the route queues of the instances.
 *
 * @example
 * const system = createVirtualSystem({ ...policy, deployment, routes, storeLoadsAtOnce: 1 });
 */
const createVirtualSystem = (options: SystemOptions): VirtualSystem => {
  const { deployment, routes, retention, idleUnloadMs } = options;
  const clock = new VirtualClock();
  const config = createConfig(options);
  const engines = createEngines(options, clock);
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
        canOrderUnfenced: () => true,
        record: () => {
          decisions += 1;
          return Promise.resolve();
        },
        limits: {
          leaseTermMs: LEASE_TERM_MS,
          pollIntervalMs: 500,
          idleUnloadMs,
          kvFloorShare: 0.2,
          storeLoadsAtOnce: options.storeLoadsAtOnce,
          adaptersInTransit: 10,
        },
      }),
    ]),
  );
  placers.forEach((placer) => placer.start());

  const queues = new Map<string, RouteQueue>();
  const queueOf = (instance: number, routeName: string): RouteQueue => {
    const key = `${instance} ${routeName}`;
    const known = queues.get(key);
    if (known !== undefined) return known;
    const route = routes.get(routeName)!;
    const pool = getRow(config, TableName.Pools, POOL)!.value;
    const { failureDomains } = deployment;
    const ownDomain = failureDomains[instance % failureDomains.length];
    const queue = new RouteQueue({
      routeName,
      instance: `entry-${instance}`,
      clock,
      link: {
        acquire: async (domain, request) => {
          await clock.sleep(ROUND_TRIP_MS);
          return Just(await placers.get(domain)!.acquire(request));
        },
      },
      domains: () => placementDomains(config, route, pool, ownDomain),
      slotUsableMs: SLOT_USABLE_MS,
      answerMarginMs: 150,
      placerGraceMs: () => 1_500,
    });
    queues.set(key, queue);
    return queue;
  };
  return {
    clock,
    engines,
    memoryMb: MEMORY_MB,
    engineAt,
    queueOf,
    decisionCount: () => decisions,
    stop: () => placers.forEach((placer) => placer.stop()),
  };
};

export default createVirtualSystem;
