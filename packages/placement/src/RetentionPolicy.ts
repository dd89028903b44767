import type IdleGaps from './IdleGaps';

interface Replica {
  readonly gaps: IdleGaps;
  /** Time to load the replica again. */
  readonly loadMs: number;
  readonly sizeMb: number;
}

/** A policy that decides which idle replicas stay loaded. */
interface RetentionPolicy {
  /** Returns the idle time after which a replica is unloaded, at most `limitMs`. */
  keepAliveMs(replica: Replica & { readonly memoryMb: number; readonly limitMs: number }): number;
  /** Returns the cost of evicting a replica; the replica of least cost is evicted first. */
  evictionCost(replica: Replica & { readonly nowMs: number }): number;
}

export default RetentionPolicy;
