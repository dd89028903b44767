import type { Clock } from '@wisteriapath/model';

interface Rate {
  perS: number;
  atMs: number;
}

const HALF_LIFE_MS = 2_000;
const NEGLIGIBLE_PER_S = 0.02;

type Rates = Map<string, Rate>;

/** Exponentially decaying request rates of the models and adapters at this instance. */
class ModelRates {
  private readonly rates: Rates = new Map();

  private readonly deferrableRates: Rates = new Map();

  constructor(private readonly clock: Clock) {}

  /** Records one request, and whether it can wait beside more urgent ones of its pool. */
  record(pool: string, model: string, adapter: string | null, isDeferrable = false): void {
    const key = JSON.stringify([pool, model, adapter ?? '']);
    this.increase(this.rates, key);
    if (isDeferrable) this.increase(this.deferrableRates, key);
  }

  /** The rates that are not negligible, as `[pool, model, adapter or '', requests a second]`. */
  get all(): readonly (readonly [string, string, string, number])[] {
    return this.list(this.rates);
  }

  /** The part of `all` that is due to requests that can wait. */
  get deferrable(): readonly (readonly [string, string, string, number])[] {
    return this.list(this.deferrableRates);
  }

  private increase(rates: Rates, key: string): void {
    const perS = this.decayed(rates.get(key)) + (Math.LN2 * 1_000) / HALF_LIFE_MS;
    rates.set(key, { perS, atMs: this.clock.nowMs() });
  }

  private list(rates: Rates): readonly (readonly [string, string, string, number])[] {
    const all: (readonly [string, string, string, number])[] = [];
    rates.forEach((rate, key) => {
      const perS = this.decayed(rate);
      if (perS < NEGLIGIBLE_PER_S) {
        rates.delete(key);
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
