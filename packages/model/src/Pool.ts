import type Target from './Target';

/** A row of the pools table: the targets that may serve a route. */
interface Pool {
  /** Maximum number of loaded replicas of one model in one failure domain. */
  readonly maxReplicas: number;
  /** Targets by name. */
  readonly targets: Readonly<Record<string, Target>>;
}

export default Pool;
