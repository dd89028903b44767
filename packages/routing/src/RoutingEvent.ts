/** A routing decision, as it is logged. */
interface RoutingEvent {
  readonly requestId: string;
  readonly route: string;
  readonly workspace: string;
  /** Number of the attempt; the first one is 1. */
  readonly attempt: number;
  readonly target: string;
  readonly failureDomain: string;
  /** Targets that had free slots, with the share of their slots in use. */
  readonly candidates: readonly { readonly target: string; readonly load: number }[];
  readonly waitedMs: number;
  readonly reason: string;
}

export default RoutingEvent;
