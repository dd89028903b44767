/** Something that is loaded into an engine: a model, or an adapter on top of one. */
interface Asset {
  readonly id: string;
  readonly sizeMb: number;
}

export default Asset;
