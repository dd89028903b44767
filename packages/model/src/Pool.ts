import type Target from './Target';

/** A named set of targets that may carry a route's work. */
interface Pool {
  /** Most replicas of one model that may be loaded in one failure domain. */
  readonly maxReplicas: number;
  readonly targets: Readonly<Record<string, Target>>;
}

export default Pool;
