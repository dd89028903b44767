import type WorkspaceDemand from './WorkspaceDemand';

/** A request of a holder to lease slots of one target. */
interface TargetLeaseRequest {
  /** Instance and route, which hold the lease together. */
  readonly holder: string;
  readonly wantSlots: number;
  /** The holder's demand by workspace, reduced to the part that falls to this target. */
  readonly demand: readonly WorkspaceDemand[];
  /** Requests that the holder has in flight on the target. */
  readonly inflight: number;
  /** Slots that the holder has by its own account. */
  readonly heldSlots: number;
  readonly assetIds: readonly string[];
}

export default TargetLeaseRequest;
