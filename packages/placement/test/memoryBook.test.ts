/**
 * Guards that an engine is never ordered to hold more than its memory. Reports lag behind orders: an
 * asset may be loaded before a report shows it. Memory must stay reserved from the decision to load
 * until the unload is confirmed.
 */
import fc from 'fast-check';
import { systemClock } from '@wisteriapath/model';
import { AssetPhase, type LoadReport, MemoryReservations } from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);
const LIMIT_MB = 100;

/** An engine that carries out orders at once and reports with a lag. */
class LaggingEngine {
  readonly assets = new Map<string, number>();

  private sequence = 0;

  private readonly reports: LoadReport[] = [];

  order(apply: () => void): number {
    this.sequence += 1;
    apply();
    return this.sequence;
  }

  usedMb(): number {
    return [...this.assets.values()].reduce((sum, sizeMb) => sum + sizeMb, 0);
  }

  report(lag: number): LoadReport {
    this.reports.push({
      incarnation: 'one',
      inflight: 0,
      finished: 0,
      lastOrder: { fencing: 1, sequence: this.sequence },
      assets: [...this.assets].map(([id, sizeMb]) => ({ id, sizeMb, ready: true })),
      tiers: {},
    });
    return this.reports[Math.max(0, this.reports.length - 1 - lag)];
  }
}

const step = fc.record({
  act: fc.constantFrom('decide' as const, 'send' as const, 'unload' as const, 'report' as const),
  id: fc.constantFrom('a', 'b', 'c', 'd'),
  lag: fc.nat(4),
});

const SIZES_MB: Readonly<Record<string, number>> = { a: 40, b: 50, c: 30, d: 60 };

test('orders that the reservations allow never overfill the engine, however late its reports', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const engine = new LaggingEngine();
      const reservations = new MemoryReservations(LIMIT_MB, systemClock);
      steps.forEach(({ act, id, lag }) => {
        const asset = { id, sizeMb: SIZES_MB[id] };
        const phase = reservations.phaseOf(id);
        if (act === 'decide' && phase === undefined) reservations.reserve(asset);
        if (act === 'send' && phase === AssetPhase.Decided && reservations.fitsNow(asset)) {
          const sequence = engine.order(() => engine.assets.set(id, asset.sizeMb));
          reservations.markLoading(asset, sequence);
        }
        if (act === 'unload' && phase === AssetPhase.Ready) {
          const sequence = engine.order(() => engine.assets.delete(id));
          reservations.markUnloading(asset, sequence);
        }
        if (act === 'report') reservations.applyReport(engine.report(lag));
      });
      return engine.usedMb() <= LIMIT_MB;
    }),
    { numRuns: RUNS, seed: SEED },
  );
});
