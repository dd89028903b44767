import type { Clock } from '@wisteriapath/model';

const MB_PER_S = 1_000;
const FULL_SPEED_LOADS = 4;
const RETRY_INTERVAL_MS = 200;
const SECOND_MS = 1_000;

/** The weight store on a virtual clock: loads begun in a second are limited, many at once slow down. */
class VirtualStore {
  private loading = 0;

  private loadStartsMs: number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly loadsPerS: number,
  ) {}

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
