import { request } from 'undici';
import { systemClock } from '@wisteriapath/model';
import type EngineOptions from './EngineOptions';
import LoadedModel from './LoadedModel';

const UNLOAD_MS = 20;
const STORE_RETRY_INTERVAL_MS = 200;
const OK = 200;

/** Models and adapters of one engine stand-in, with their storage tiers and memory use. */
class EngineMemory {
  readonly counts = { loads: 0, unloads: 0, peakMb: 0, overcommits: 0 };

  private readonly loaded = new Map<string, LoadedModel>();

  private readonly tiers: Map<string, 'memory' | 'disk'>;

  constructor(private readonly options: Required<EngineOptions>) {
    this.tiers = new Map(Object.entries(options.cached));
  }

  report() {
    return [...this.loaded.values()].map(({ id, sizeMb, ready }) => ({ id, sizeMb, ready }));
  }

  tierReport() {
    return Object.fromEntries(this.tiers);
  }

  usedMb(): number {
    return [...this.loaded.values()].reduce((sum, model) => sum + model.sizeMb, 0);
  }

  /**
   * Returns whether an asset can serve requests. An adapter needs its base model, which is the part
   * of its id before the slash.
   */
  isReady(id: string): boolean {
    const [base] = id.split('/');
    return [base, id].every((part) => this.loaded.get(part)?.ready === true);
  }

  load(id: string, sizeMb: number): void {
    if (this.loaded.has(id)) return;
    const model = new LoadedModel(id, sizeMb);
    this.loaded.set(id, model);
    this.counts.loads += 1;
    this.counts.peakMb = Math.max(this.counts.peakMb, this.usedMb());
    if (this.usedMb() > this.options.memoryMb) this.counts.overcommits += 1;
    void this.finishLoad(model);
  }

  unload(id: string): void {
    const model = this.loaded.get(id);
    if (model === undefined) return;
    model.beginUnloading();
    this.counts.unloads += 1;
    this.tiers.set(id, 'memory');
    void systemClock.sleep(UNLOAD_MS).then(() => {
      if (this.loaded.get(id) === model) this.loaded.delete(id);
    });
  }

  /** Drops every loaded model, as a restart does. */
  reset(): void {
    this.loaded.clear();
  }

  private async finishLoad(model: LoadedModel): Promise<void> {
    await this.fetch(model);
    model.finishLoading();
    if (model.ready) this.tiers.set(model.id, 'disk');
  }

  private async fetch({ id, sizeMb }: LoadedModel): Promise<void> {
    const tier = this.tiers.get(id);
    if (tier === 'memory') return systemClock.sleep(this.options.memoryTierMs);
    if (tier === 'disk') return systemClock.sleep(this.options.diskTierMs);
    await this.fetchFromStore(id, sizeMb);
    return systemClock.sleep(this.options.remoteTierMs);
  }

  private async fetchFromStore(id: string, sizeMb: number): Promise<void> {
    const { weightStoreUrl } = this.options;
    if (weightStoreUrl === '') return;
    const url = `${weightStoreUrl}/weights/${encodeURIComponent(id)}?sizeMb=${sizeMb}`;
    for (;;) {
      try {
        const response = await request(url);
        await response.body.dump();
        if (response.statusCode === OK) return;
      } catch {
        // The store is unreachable; the fetch is retried.
      }
      await systemClock.sleep(STORE_RETRY_INTERVAL_MS);
    }
  }
}

export default EngineMemory;
