/** A model that may be unloaded from an engine to make room. */
interface Eviction {
  readonly model: string;
  readonly sizeMb: number;
  /** What its next load costs, in request-milliseconds. */
  readonly costMs: number;
}

export default Eviction;
