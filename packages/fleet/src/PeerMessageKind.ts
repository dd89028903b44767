/** Kinds of datagrams between instances. The values are part of the wire format. */
enum PeerMessageKind {
  Heartbeat = 1,
  /** Demand for models, sent to the placer. */
  Demand = 2,
  /** Placement of models, sent by the placer. */
  Placement = 3,
  /** Targets that said that they are leaving, by id and start. */
  LeavingTargets = 7,
  /** Records of the targets, sent by the instance that reads the store for all. Kind 5 had another format. */
  Targets = 6,
  /** Crashes of targets, and clearances of what is suspected of them. Kind 4 had another format. */
  Suspects = 8,
  /** When loads that were put off are expected to end, sent by the placer to instances whose requests wait for them. */
  Forecast = 9,
  /** Targets that deviate from what is usual, sent by a placer to its failure domain. */
  TargetDigest = 10,
}

export default PeerMessageKind;
