import type WorkspaceDemand from './WorkspaceDemand';

/** A holder's ask for slots of one target. */
interface TargetLeaseRequest {
  /** Instance and route. */
  readonly holder: string;
  readonly wantSlots: number;
  /** The target's part of what each workspace could use at the holder. */
  readonly demand: readonly WorkspaceDemand[];
  /** Requests that the holder has in flight on the target. */
  readonly inflight: number;
  /** Slots that the holder believes to have. */
  readonly heldSlots: number;
  readonly assetIds: readonly string[];
}

export default TargetLeaseRequest;
