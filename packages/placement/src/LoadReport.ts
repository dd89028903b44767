/** A target's report of its load; it may be late. */
interface LoadReport {
  /** Changes when the target restarts or loses what it had loaded. */
  readonly incarnation: string;
  readonly inflight: number;
  /** Requests finished in this incarnation. */
  readonly finished: number;
  /** The latest order that the report reflects; zeros if there was none. */
  readonly lastOrder: { readonly fencing: number; readonly sequence: number };
  readonly assets: readonly {
    readonly id: string;
    readonly sizeMb: number;
    readonly ready: boolean;
  }[];
  /** Nearest tier of each checkpoint that is not only remote. */
  readonly tiers: Readonly<Record<string, 'memory' | 'disk'>>;
}

export default LoadReport;
