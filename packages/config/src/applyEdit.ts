import { TableName, type WorkspaceKey } from '@wisteriapath/model';
import type ConfigEdit from './ConfigEdit';
import type ConfigState from './ConfigState';
import EditKind from './EditKind';
import type Row from './Row';

const ABSENT_ROW_VERSION = 0;

const withoutKeyHash = (state: ConfigState, row: Row | undefined): ConfigState => {
  if (row === undefined) return state;
  return { ...state, keysByHash: state.keysByHash.delete((row.value as WorkspaceKey).sha256) };
};

const withKeyHash = (state: ConfigState, name: string, value: unknown): ConfigState => ({
  ...state,
  keysByHash: state.keysByHash.set((value as WorkspaceKey).sha256, name),
});

const reindexKeys = (state: ConfigState, edit: ConfigEdit, before?: Row): ConfigState => {
  if (edit.table !== TableName.Keys) return state;
  const withoutOldHash = withoutKeyHash(state, before);
  return edit.kind === EditKind.Set
    ? withKeyHash(withoutOldHash, edit.name, edit.value)
    : withoutOldHash;
};

/**
 * Applies the edit in the record at `offset`. Returns undefined if the row does not have the
 * expected version.
 *
 * @example
 * const next = applyEdit(state, edit, record.offset) ?? state;
 */
const applyEdit = (
  state: ConfigState,
  edit: ConfigEdit,
  offset: number,
): ConfigState | undefined => {
  const rows = state.tables[edit.table];
  const before = rows.get(edit.name);
  if ((before?.version ?? ABSENT_ROW_VERSION) !== edit.expectedVersion) return undefined;
  if (edit.kind === EditKind.Remove && before === undefined) return undefined;
  const after =
    edit.kind === EditKind.Remove
      ? rows.delete(edit.name)
      : rows.set(edit.name, { version: offset + 1, value: edit.value });
  const next = { ...state, tables: { ...state.tables, [edit.table]: after } };
  return reindexKeys(next, edit, before);
};

export default applyEdit;
