import type Demand from './Demand';

/** The demand of all instances for one pool at one moment. Rates are in requests per second. */
interface DemandSnapshot {
  /** Models and adapters that requests wait for. */
  readonly waiting: readonly Demand[];
  /** Rate by model, including requests for its adapters. */
  readonly modelRates: ReadonlyMap<string, number>;
  /** The part of `modelRates` that is due to requests that can wait. */
  readonly deferrableRates: ReadonlyMap<string, number>;
  /** Rate by `model` for requests without an adapter, or by `model/adapter`. */
  readonly assetRates: ReadonlyMap<string, number>;
  /** Number of running requests by engine, then by `model` or `model/adapter`. */
  readonly running: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Ids of engines that at least one instance cannot reach. */
  readonly unreachable: ReadonlySet<string>;
  /** Instances with waiting requests, by `model` or `model/adapter`. */
  readonly waitingInstances: ReadonlyMap<string, readonly string[]>;
}

export default DemandSnapshot;
