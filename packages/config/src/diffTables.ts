import { isDeepStrictEqual } from 'node:util';
import type { TableName } from '@wisteriapath/model';
import EditKind from './EditKind';
import type Row from './Row';
import type TableChange from './TableChange';

/**
 * Returns the edits that turn the current rows of a table into the desired rows.
 *
 * @example
 * diffTables(TableName.Pools, current, desired).map((change) => change.edit.name);
 */
const diffTables = (
  table: TableName,
  current: ReadonlyMap<string, Row>,
  desired: ReadonlyMap<string, unknown>,
): TableChange[] => {
  const sets = [...desired]
    .filter(([name, value]) => !isDeepStrictEqual(current.get(name)?.value, value))
    .map(([name, value]) => {
      const before = current.get(name);
      const expectedVersion = before?.version ?? 0;
      return {
        edit: { kind: EditKind.Set, table, name, expectedVersion, value },
        before: before?.value,
      };
    });
  const removals = [...current]
    .filter(([name]) => !desired.has(name))
    .map(([name, row]) => ({
      edit: { kind: EditKind.Remove, table, name, expectedVersion: row.version },
      before: row.value,
    }));
  return [...sets, ...removals];
};

export default diffTables;
