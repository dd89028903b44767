import type Demand from './Demand';

/** One instance's news for the placer. */
interface DemandReport {
  readonly instance: string;
  readonly waiting: readonly Demand[];
  /** Requests a second by pool, model and adapter: `[pool, model, adapter or '', rate]`. */
  readonly rates: readonly (readonly [string, string, string, number])[];
  /** Engines that this instance cannot reach, or that do not answer it. */
  readonly unreachable: readonly string[];
  /** Requests under way by engine and model, `[engine, model, adapter or '', count]`. */
  readonly running: readonly (readonly [string, string, string, number])[];
}

export default DemandReport;
