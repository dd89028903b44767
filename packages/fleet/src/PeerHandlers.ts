import type DigestRow from './DigestRow';
import type Heartbeat from './Heartbeat';
import type LoadForecast from './LoadForecast';
import type DemandReport from './DemandReport';
import type PlacementUpdate from './PlacementUpdate';
import type RecordSpan from './RecordSpan';
import type SuspectMessage from './SuspectMessage';

/** Handlers of the datagrams that peers send. */
interface PeerHandlers {
  heartbeat(heartbeat: Heartbeat): void;
  demand(report: DemandReport): void;
  placement(updates: readonly PlacementUpdate[]): void;
  forecast(forecast: LoadForecast): void;
  /** Receives what the instance named `sender` read from the topic of the targets. */
  targets(span: RecordSpan, sender: string): void;
  /** Receives targets that said that they are leaving, by id and start. */
  leavingTargets(targets: readonly (readonly [string, number])[]): void;
  /** Receives what a peer knows of requests that crash targets. */
  suspects(message: SuspectMessage): void;
  /** Receives what all instances together know of targets. */
  targetDigest(rows: readonly DigestRow[]): void;
}

export default PeerHandlers;
