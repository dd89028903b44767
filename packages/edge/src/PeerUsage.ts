import type { HeartbeatKind } from '@wisteriapath/fleet';

/** The usage that one source, a peer or the aggregate of a failure domain, reported last for a workspace. */
interface PeerUsage {
  /** Identifies a counter; differs once the count starts again from a new base. */
  readonly series: string;
  readonly kind: HeartbeatKind;
  /** Units admitted, as counted by the series. */
  spent: number;
  /** Units a second. */
  rate: number;
  reportedAtMs: number;
  /** Units that the source may have spent since its last report, once it is silent; already taken from the shared tokens. */
  presumed: number;
  /** Until when they have been taken, on the monotonic clock. */
  presumedToMs: number;
  /** Whether the source said that it stops, so that its silence is its end. */
  readonly isStopping: boolean;
}

export default PeerUsage;
