/** A row of a table. Its version is the log offset of its last accepted edit. */
interface Row<V = unknown> {
  readonly version: number;
  readonly value: V;
}

export default Row;
