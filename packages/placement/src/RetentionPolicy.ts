import type IdleGaps from './IdleGaps';

interface Replica {
  readonly gaps: IdleGaps;
  /** Time that loading it again takes. */
  readonly loadMs: number;
  readonly sizeMb: number;
}

/** Which replicas are kept while nobody uses them. */
interface RetentionPolicy {
  /** Idle time after which a replica is unloaded, at most `limitMs`. */
  keepAliveMs(replica: Replica & { readonly memoryMb: number; readonly limitMs: number }): number;
  /** What is lost by evicting a replica; the least loss goes first. */
  evictionCost(replica: Replica & { readonly nowMs: number }): number;
}

export default RetentionPolicy;
