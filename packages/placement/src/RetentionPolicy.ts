import type IdleGaps from './IdleGaps';

/** Which replicas are kept while nobody uses them. */
interface RetentionPolicy {
  /** Idle time after which a replica is unloaded, at most `limitMs`, given what a load costs. */
  keepAliveMs(gaps: IdleGaps, limitMs: number, loadMs: number): number;
  /** What is lost by evicting a replica; the least loss goes first. */
  evictionCost(replica: {
    readonly gaps: IdleGaps;
    readonly loadMs: number;
    readonly sizeMb: number;
    readonly nowMs: number;
  }): number;
}

export default RetentionPolicy;
