import type Heartbeat from './Heartbeat';
import type DemandReport from './DemandReport';
import type PlacementUpdate from './PlacementUpdate';
import type RecordSpan from './RecordSpan';

/** Handlers of the datagrams that peers send. */
interface PeerHandlers {
  heartbeat(heartbeat: Heartbeat): void;
  demand(report: DemandReport): void;
  placement(updates: readonly PlacementUpdate[]): void;
  /** Receives what the instance named `sender` read from the topic of the targets. */
  targets(span: RecordSpan, sender: string): void;
  /** Receives targets that said that they are leaving, by id and start. */
  leavingTargets(targets: readonly (readonly [string, number])[]): void;
  /** Receives pairs of a request's fingerprint and the id of a target that it may have crashed. */
  suspects(pairs: readonly (readonly [string, string])[]): void;
}

export default PeerHandlers;
