import type { DutyOptions, MemberRecord } from '@wisteriapath/fleet';
import type SharedLimits from './SharedLimits';

/** The addresses and limits of one instance. */
interface EdgeOptions {
  readonly member: MemberRecord;
  /** `host:port` for callers. */
  readonly callersAddress: string;
  /** `host:port` of the balancer's readiness check. */
  readonly readinessAddress: string;
  readonly metricsPort: number;
  readonly peerPort: number;
  /** Hosts that are contacted before any peer is known. */
  readonly seedHosts: readonly string[];
  /** Time within which the process must end after the stop signal. */
  readonly shutdownGraceMs: number;
  /** Minimum time between the last order of one lease holder and the first order of the next. */
  readonly handoverDelayMs: number;
  /** Window in which loads from the weight store are counted. */
  readonly weightStoreWindowMs: number;
  readonly sharedLimits: SharedLimits;
  /** Absent where the deployment has no duties. */
  readonly duties?: DutyOptions;
  /** Memory of the process, beyond which it is killed. */
  readonly memoryLimitBytes: number;
}

export default EdgeOptions;
