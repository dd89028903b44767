/** A row of a table. */
interface Row<V = unknown> {
  /**
   * Log offset of the last accepted edit, plus 1. Version 0 stands for a row that does not exist.
   */
  readonly version: number;
  readonly value: V;
}

export default Row;
