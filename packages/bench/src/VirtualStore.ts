import type { Clock } from '@wisteriapath/model';

const MB_PER_S = 1_000;
const FULL_SPEED_LOADS = 4;
const RETRY_INTERVAL_MS = 200;
const SECOND_MS = 1_000;

/**
 * A simulated weight store on a virtual clock. It limits the loads started in a second, and
 * concurrent loads above `FULL_SPEED_LOADS` slow one another down.
 */
class VirtualStore {
  private loading = 0;

  private loadStartsMs: number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly loadsPerS: number,
  ) {}

  /**
   * Resolves when a checkpoint of this size is fetched; waits while the limit on starts is reached.
   */
  async fetch(sizeMb: number): Promise<void> {
    while (this.countRecentLoads() >= this.loadsPerS) await this.clock.sleep(RETRY_INTERVAL_MS);
    this.loadStartsMs.push(this.clock.nowMs());
    this.loading += 1;
    const slowdown = Math.max(1, this.loading / FULL_SPEED_LOADS);
    await this.clock.sleep((sizeMb / MB_PER_S) * SECOND_MS * slowdown);
    this.loading -= 1;
  }

  private countRecentLoads(): number {
    const oldestMs = this.clock.nowMs() - SECOND_MS;
    this.loadStartsMs = this.loadStartsMs.filter((atMs) => atMs > oldestMs);
    return this.loadStartsMs.length;
  }
}

export default VirtualStore;
