interface Instance {
  readonly isStopping: boolean;
  /** Whether it tells the balancer that it is ready. */
  readonly isReady: boolean;
}

/** The other instances of the failure domain of this one, as their heartbeats show them. */
interface DomainInstances {
  /** Those that are heard. */
  readonly candidates: readonly Instance[];
  /** Those that are heard or have been a short while ago. */
  readonly domainPeers: readonly Instance[];
}

export default DomainInstances;
