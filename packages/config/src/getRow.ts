import type { TableName } from '@wisteriapath/model';
import type ConfigState from './ConfigState';
import type Row from './Row';
import type RowValueByTable from './RowValueByTable';

/**
 * Returns a row of a table by name; undefined if it does not exist.
 *
 * @example
 * getRow(state, TableName.Routes, 'cup-guide')?.value.deadlineMs;
 */
const getRow = <T extends TableName>(
  state: ConfigState,
  table: T,
  name: string,
): Row<RowValueByTable[T]> | undefined =>
  state.tables[table].get(name) as Row<RowValueByTable[T]> | undefined;

export default getRow;
