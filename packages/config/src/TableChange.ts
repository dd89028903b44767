import type ConfigEdit from './ConfigEdit';

/** A difference between the current rows of a table and the desired rows. */
interface TableChange {
  readonly edit: ConfigEdit;
  /** The current value; undefined if the row does not exist. */
  readonly before: unknown;
}

export default TableChange;
