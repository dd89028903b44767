import type { Clock } from '@wisteriapath/model';
import {
  type Asset,
  expectedLoadMs,
  type LoadReport,
  OrderKind,
  OrderResult,
  type TargetOrder,
} from '@wisteriapath/placement';
import { LRUCache } from 'lru-cache';
import type VirtualStore from './VirtualStore';

interface LoadedAsset {
  readonly asset: Asset;
  readonly orderedMs: number;
  readonly uncontendedMs: number;
  ready: boolean;
  users: number;
}

const ENGINE_START_MS = 50;
const UNLOAD_MS = 20;
const HOST_MEMORY_MB = 64_000;
/** Reported number of finished requests, high enough for the target to count as warm. */
const FINISHED_REQUESTS = 10_000;

/**
 * A simulated engine on a virtual clock that measures the memory held by unused models and
 * adapters.
 */
class VirtualEngine {
  loads = 0;

  /** Integral of idle memory over time, in megabyte-milliseconds. */
  idleMbMs = 0;

  private idleCountedUntilMs = 0;

  private cachedTiers: LoadReport['tiers'] | undefined;

  private lastOrder = { fencing: 0, sequence: 0 };

  private readonly loaded = new Map<string, LoadedAsset>();

  private readonly hostMemory = new LRUCache<string, number>({
    maxSize: HOST_MEMORY_MB,
    sizeCalculation: (sizeMb) => sizeMb,
  });

  constructor(
    private readonly clock: Clock,
    private readonly store: VirtualStore,
    /** Ids of the assets whose checkpoints are on the engine's disk. */
    private readonly disk: Set<string>,
  ) {}

  report(): LoadReport {
    const loaded = [...this.loaded.values()];
    return {
      incarnation: 'only',
      inflight: loaded.reduce((sum, { users }) => sum + users, 0),
      finished: FINISHED_REQUESTS,
      lastOrder: this.lastOrder,
      assets: loaded.map(({ asset, ready }) => ({ ...asset, ready })),
      tiers: this.tiers(),
    };
  }

  order({ kind, assetId: id, sizeMb, fencing, sequence }: TargetOrder): OrderResult {
    this.lastOrder = { fencing, sequence };
    if (kind === OrderKind.Load) void this.load({ id, sizeMb });
    if (kind === OrderKind.Unload) void this.unload(id);
    return OrderResult.Accepted;
  }

  /**
   * Returns the time of the order for the current load of an asset, and how long that load takes
   * without contention; undefined if the asset is not loaded.
   */
  latestLoad(assetId: string): { orderedMs: number; uncontendedMs: number } | undefined {
    return this.loaded.get(assetId);
  }

  /** Adds or removes one user of each asset. */
  changeUsers(assetIds: readonly string[], change: 1 | -1): void {
    this.updateIdleMemory();
    assetIds.forEach((id) => {
      const loaded = this.loaded.get(id);
      if (loaded !== undefined) loaded.users += change;
    });
  }

  /** Updates `idleMbMs` to the current time. */
  updateIdleMemory(): void {
    const nowMs = this.clock.nowMs();
    const idle = [...this.loaded.values()].filter(({ ready, users }) => ready && users === 0);
    const idleMb = idle.reduce((sum, { asset }) => sum + asset.sizeMb, 0);
    this.idleMbMs += idleMb * (nowMs - this.idleCountedUntilMs);
    this.idleCountedUntilMs = nowMs;
  }

  /** Returns the same object until a checkpoint changes its tier. */
  private tiers(): LoadReport['tiers'] {
    if (this.cachedTiers === undefined) {
      const onDisk = [...this.disk].map((id) => [id, 'disk'] as const);
      const inMemory = [...this.hostMemory.keys()].map((id) => [id, 'memory'] as const);
      this.cachedTiers = Object.fromEntries([...onDisk, ...inMemory]);
    }
    return this.cachedTiers;
  }

  private tier(id: string): 'memory' | 'disk' | 'remote' {
    if (this.hostMemory.has(id)) return 'memory';
    return this.disk.has(id) ? 'disk' : 'remote';
  }

  private async load(asset: Asset): Promise<void> {
    if (this.loaded.has(asset.id)) return;
    this.updateIdleMemory();
    const tier = this.tier(asset.id);
    const uncontendedMs = expectedLoadMs(asset, tier);
    const orderedMs = this.clock.nowMs();
    const loaded: LoadedAsset = { asset, orderedMs, uncontendedMs, ready: false, users: 0 };
    this.loaded.set(asset.id, loaded);
    this.loads += 1;
    if (tier === 'remote') {
      await this.store.fetch(asset.sizeMb);
      await this.clock.sleep(ENGINE_START_MS);
    } else {
      await this.clock.sleep(uncontendedMs);
    }
    this.updateIdleMemory();
    loaded.ready = true;
    this.disk.add(asset.id);
    this.cachedTiers = undefined;
  }

  private async unload(id: string): Promise<void> {
    const loaded = this.loaded.get(id);
    if (loaded === undefined) return;
    await this.clock.sleep(UNLOAD_MS);
    this.updateIdleMemory();
    this.loaded.delete(id);
    this.hostMemory.set(id, loaded.asset.sizeMb);
    this.cachedTiers = undefined;
  }
}

export default VirtualEngine;
