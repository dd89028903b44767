import type WorkspaceDemand from './WorkspaceDemand';

/** A request of an instance to a placer to lease slots on the targets of a route. */
interface SlotLeaseRequest {
  readonly instance: string;
  readonly route: string;
  readonly wantSlots: number;
  /** Requests that wait or run in the instance, by workspace. */
  readonly demand: readonly WorkspaceDemand[];
  /** Use of each target of the route since the instance's previous request. */
  readonly uses: readonly {
    readonly target: string;
    /** Slots that the instance holds by its own account. */
    readonly heldSlots: number;
    readonly inflight: number;
    readonly succeeded: number;
    readonly failed: number;
    readonly slow: number;
  }[];
}

export default SlotLeaseRequest;
