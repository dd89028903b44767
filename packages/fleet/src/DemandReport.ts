import type Demand from './Demand';
import type TargetRow from './TargetRow';

/** The demand and load that one instance reports to the placers. */
interface DemandReport {
  readonly instance: string;
  readonly waiting: readonly Demand[];
  /** Requests per second by pool, model and adapter: `[pool, model, adapter or '', rate]`. */
  readonly rates: readonly (readonly [string, string, string, number])[];
  /** The part of `rates` that is due to requests that can wait; only for deferring pools. */
  readonly deferrableRates?: DemandReport['rates'];
  /** Ids of engines that this instance cannot reach, or that do not answer it. */
  readonly unreachable: readonly string[];
  /** Running requests by engine and model: `[engine, model, adapter or '', count]`. */
  readonly running: readonly (readonly [string, string, string, number])[];
  /** What the instance has measured of targets since its last report; absent if nothing, or from an earlier build. */
  readonly targets?: readonly TargetRow[];
}

export default DemandReport;
