/** The memory that the models of a service need, and what its engines have. Numbers are of all failure domains unless stated. */
interface ModelMemory {
  /** Size of all models that were used within the window, each counted once. */
  readonly inUseMb: number;
  /** Memory of all engines that may be given work. */
  readonly roomMb: number;
  /** Memory of one engine. */
  readonly engineMb: number;
  /** Engines that may be given work. */
  readonly engines: number;
  /** Failure domains with such engines. */
  readonly failureDomains: number;
  /** Models in use of which one engine of this failure domain has the only copy. */
  readonly soleCopies: number;
}

export default ModelMemory;
