import type { MemberRecord } from '@wisteriapath/fleet';
import type SharedLimits from './SharedLimits';

/** Addresses and bounds of one instance. */
interface EdgeOptions {
  readonly member: MemberRecord;
  /** `host:port` for callers. */
  readonly callersAddress: string;
  /** `host:port` at which the balancer asks whether to send callers. */
  readonly readinessAddress: string;
  readonly metricsPort: number;
  readonly peerPort: number;
  readonly seedHosts: readonly string[];
  /** Time for which work in progress may go on after the order to stop. */
  readonly shutdownGraceMs: number;
  /** Time that must pass between the orders of two holders of the lease. */
  readonly handoverDelayMs: number;
  /** Window in which loads from the weight store are counted. */
  readonly weightStoreWindowMs: number;
  readonly sharedLimits: SharedLimits;
}

export default EdgeOptions;
