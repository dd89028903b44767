import type { Clock } from '@wisteriapath/model';

/** Time for which the highest number of instances counts, though fewer are heard now. */
const MEMORY_MS = 600_000;

/**
 * The number of instances whose demand has to be known. One that is cut off stops to hear the others and would take
 * itself for the only instance, with engines that are nearly idle; the others have not ended because of that.
 */
class KnownInstances {
  private most = 0;

  private atMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly instances: () => number,
  ) {}

  get count(): number {
    const nowMs = this.clock.nowMs();
    const active = this.instances();
    if (active >= this.most || nowMs - this.atMs > MEMORY_MS) {
      this.most = active;
      this.atMs = nowMs;
    }
    return this.most;
  }
}

export default KnownInstances;
