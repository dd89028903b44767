import type Heartbeat from './Heartbeat';
import type DemandReport from './DemandReport';
import type PlacementUpdate from './PlacementUpdate';
import type TargetUpdate from './TargetUpdate';

/** What is done with the datagrams of peers. */
interface PeerHandlers {
  heartbeat(beat: Heartbeat): void;
  demand(request: DemandReport): void;
  placement(updates: readonly PlacementUpdate[]): void;
  targets(news: TargetUpdate): void;
  /** Pairs of a request's fingerprint and the id of a death that it may have caused. */
  suspects(pairs: readonly (readonly [string, string])[]): void;
}

export default PeerHandlers;
