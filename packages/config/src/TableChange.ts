import type ConfigEdit from './ConfigEdit';

/** One difference between a table in force and a wanted table. */
interface TableChange {
  readonly edit: ConfigEdit;
  readonly before: unknown;
}

export default TableChange;
