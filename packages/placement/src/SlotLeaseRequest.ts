import type WorkspaceDemand from './WorkspaceDemand';

/** An instance's call to a placer for slots on the targets of a route. */
interface SlotLeaseRequest {
  readonly instance: string;
  readonly route: string;
  readonly wantSlots: number;
  /** Whose requests wait or run in the instance. */
  readonly demand: readonly WorkspaceDemand[];
  /** What the instance did with each target of the route since its last call. */
  readonly uses: readonly {
    readonly target: string;
    /** Slots that the instance believes to have. */
    readonly heldSlots: number;
    readonly inflight: number;
    readonly succeeded: number;
    readonly failed: number;
    readonly slow: number;
  }[];
}

export default SlotLeaseRequest;
