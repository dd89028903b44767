import type Heartbeat from './Heartbeat';
import type PeerHandlers from './PeerHandlers';
import PeerMessageKind from './PeerMessageKind';
import type PlacementUpdate from './PlacementUpdate';
import readDemandReport from './readDemandReport';
import readHeartbeat from './readHeartbeat';
import readLoadForecast from './readLoadForecast';
import readRelayedTargets from './readRelayedTargets';
import readTargetRows from './readTargetRows';

type MessageReaders = Readonly<Record<PeerMessageKind, (payload: never) => void>>;

/**
 * Returns the functions that read the payload of each kind of datagram and hand it to its handler. They throw if it is malformed.
 *
 * @example
 * createMessageReaders(handlers, receiveHeartbeat)[PeerMessageKind.Demand](payload);
 */
const createMessageReaders = (
  handlers: PeerHandlers,
  receiveHeartbeat: (heartbeat: Heartbeat) => void,
): MessageReaders => ({
  [PeerMessageKind.Heartbeat]: (payload) => receiveHeartbeat(readHeartbeat(payload)),
  [PeerMessageKind.Demand]: (payload) => handlers.demand(readDemandReport(payload)),
  [PeerMessageKind.Placement]: (payload: PlacementUpdate[]) => handlers.placement(payload),
  [PeerMessageKind.Forecast]: (payload) => handlers.forecast(readLoadForecast(payload)),
  [PeerMessageKind.Targets]: (payload) => handlers.targets(...readRelayedTargets(payload)),
  [PeerMessageKind.Suspects]: (payload) => handlers.suspects(payload),
  [PeerMessageKind.TargetDigest]: (payload) => handlers.targetDigest(readTargetRows(payload)),
  [PeerMessageKind.LeavingTargets]: (payload) => handlers.leavingTargets(payload),
});

export default createMessageReaders;
