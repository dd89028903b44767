import { type Clock, TargetKind } from '@wisteriapath/model';
import { Just } from 'purify-ts';
import type Asset from '../../src/Asset';
import type LoadReport from '../../src/LoadReport';
import OrderKind from '../../src/OrderKind';
import OrderResult from '../../src/OrderResult';
import TargetAgent from '../../src/TargetAgent';
import type TargetOrder from '../../src/TargetOrder';

const EPOCH = 7;

/** Waits until all pending callbacks that need no timer have run. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

interface Setup {
  readonly assetMemoryMb: number;
  /** Assets that the engine has loaded. */
  readonly loaded?: readonly Asset[];
  /** IDs of assets whose checkpoints are on the engine's disk. */
  readonly onDisk?: readonly string[];
  /** Whether the weight store has a permit for an asset. */
  readonly hasPermit?: (assetId: string) => boolean;
}

/** Starts an agent of an engine that accepts every order and finishes no load by itself. */
const startAgent = async (setup: Setup) => {
  let nowMs = 0;
  const orders: TargetOrder[] = [];
  const clock: Clock = {
    nowMs: () => nowMs,
    sleep: (_durationMs, signal) =>
      new Promise((resolve) => {
        signal?.addEventListener('abort', () => resolve());
      }),
  };
  const report = (): LoadReport => ({
    incarnation: 'first',
    inflight: 0,
    finished: 100,
    lastOrder: { fencing: EPOCH, sequence: orders.at(-1)?.sequence ?? 0 },
    assets: (setup.loaded ?? []).map((asset) => ({ ...asset, ready: true })),
    tiers: Object.fromEntries((setup.onDisk ?? []).map((id) => [id, 'disk' as const])),
  });
  const agent = new TargetAgent({
    name: 'engine-a1',
    target: {
      kind: TargetKind.Engine,
      url: 'http://engine-a1',
      failureDomain: 'khomas-a',
      capacity: 8,
      memoryMb: setup.assetMemoryMb,
      fencing: true,
    },
    control: {
      report: () => Promise.resolve(Just(report())),
      order: (_url, order) => {
        orders.push(order);
        return Promise.resolve(OrderResult.Accepted);
      },
    },
    clock,
    epoch: EPOCH,
    pollIntervalMs: 100,
    leaseTermMs: 2_000,
    assetMemoryMb: setup.assetMemoryMb,
    mayOrder: () => true,
    acquirePermit: setup.hasPermit ?? (() => true),
    releasePermit: () => {},
    onStale: () => {},
  });
  agent.start();
  await settle();
  return {
    agent,
    /** Advances the clock without waking the agent. */
    advance: (durationMs: number) => {
      nowMs += durationMs;
    },
    nowMs: () => nowMs,
    /** Wakes the agent. Returns the assets whose loads were ordered so far. */
    ordered: async () => {
      agent.wake();
      await settle();
      return orders.filter((order) => order.kind === OrderKind.Load).map((order) => order.assetId);
    },
  };
};

export default startAgent;
