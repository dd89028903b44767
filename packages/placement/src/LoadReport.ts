/** A report of a target on its requests and assets. It may describe an earlier state. */
interface LoadReport {
  /** Changes when the target restarts or loses what it had loaded. */
  readonly incarnation: string;
  readonly inflight: number;
  /** Requests finished in this incarnation. */
  readonly finished: number;
  /** Latest order that the report reflects; zeros if there was none. */
  readonly lastOrder: { readonly fencing: number; readonly sequence: number };
  readonly assets: readonly {
    readonly id: string;
    readonly sizeMb: number;
    readonly ready: boolean;
  }[];
  /** Fastest tier of each checkpoint; checkpoints in the remote tier only are left out. */
  readonly tiers: Readonly<Record<string, 'memory' | 'disk'>>;
}

export default LoadReport;
