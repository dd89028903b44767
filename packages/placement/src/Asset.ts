/** A model, or an adapter of a model, that can be loaded into an engine. */
interface Asset {
  /** `MODEL` for a model, `MODEL/ADAPTER` for an adapter. */
  readonly id: string;
  readonly sizeMb: number;
}

export default Asset;
