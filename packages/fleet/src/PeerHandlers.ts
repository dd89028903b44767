import type Heartbeat from './Heartbeat';
import type DemandReport from './DemandReport';
import type PlacementUpdate from './PlacementUpdate';
import type TargetUpdate from './TargetUpdate';

/** Handlers of the datagrams that peers send. */
interface PeerHandlers {
  heartbeat(heartbeat: Heartbeat): void;
  demand(report: DemandReport): void;
  placement(updates: readonly PlacementUpdate[]): void;
  /** Receives an update that the instance named `reader` read from the store. */
  targets(update: TargetUpdate, reader: string): void;
  /** Receives pairs of a request's fingerprint and the id of a target that it may have crashed. */
  suspects(pairs: readonly (readonly [string, string])[]): void;
}

export default PeerHandlers;
