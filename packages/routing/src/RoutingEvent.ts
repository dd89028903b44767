/** One routing decision, for the log. */
interface RoutingEvent {
  readonly requestId: string;
  readonly route: string;
  readonly workspace: string;
  /** Attempts begin at 1. */
  readonly attempt: number;
  readonly target: string;
  readonly failureDomain: string;
  /** Targets that were free, with the share of their slots in use. */
  readonly candidates: readonly { readonly target: string; readonly load: number }[];
  readonly waitedMs: number;
  readonly reason: string;
}

export default RoutingEvent;
