import type { Clock } from '@wisteriapath/model';

interface Rate {
  perS: number;
  atMs: number;
}

const HALF_LIFE_MS = 2_000;
const NEGLIGIBLE_PER_S = 0.02;

/** Exponentially decaying request rates of the models and adapters at this instance. */
class ModelRates {
  private readonly rates = new Map<string, Rate>();

  constructor(private readonly clock: Clock) {}

  /** Records one request. */
  record(pool: string, model: string, adapter: string | null): void {
    const key = JSON.stringify([pool, model, adapter ?? '']);
    const perS = this.decayed(this.rates.get(key)) + (Math.LN2 * 1_000) / HALF_LIFE_MS;
    this.rates.set(key, { perS, atMs: this.clock.nowMs() });
  }

  /** The rates that are not negligible, as `[pool, model, adapter or '', requests a second]`. */
  get all(): readonly (readonly [string, string, string, number])[] {
    const all: (readonly [string, string, string, number])[] = [];
    this.rates.forEach((rate, key) => {
      const perS = this.decayed(rate);
      if (perS < NEGLIGIBLE_PER_S) {
        this.rates.delete(key);
        return;
      }
      const [pool, model, adapter] = JSON.parse(key) as [string, string, string];
      all.push([pool, model, adapter, Number(perS.toFixed(2))]);
    });
    return all;
  }

  private decayed(rate: Rate | undefined): number {
    if (rate === undefined) return 0;
    return rate.perS * 0.5 ** ((this.clock.nowMs() - rate.atMs) / HALF_LIFE_MS);
  }
}

export default ModelRates;
