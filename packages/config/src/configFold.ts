import type { Fold } from '@wisteriapath/log-client';
import { TableName } from '@wisteriapath/model';
import type ConfigEdit from './ConfigEdit';
import type ConfigState from './ConfigState';
import EditKind from './EditKind';
import applyEdit from './applyEdit';
import emptyConfig from './emptyConfig';

const TABLE_NAMES = new Set<unknown>(Object.values(TableName));
const EDIT_KINDS = new Set<unknown>(Object.values(EditKind));

const isEdit = (body: unknown): body is ConfigEdit => {
  const edit = body as Partial<ConfigEdit> | null | undefined;
  return (
    TABLE_NAMES.has(edit?.table) &&
    EDIT_KINDS.has(edit?.kind) &&
    typeof edit?.name === 'string' &&
    typeof edit.expectedVersion === 'number' &&
    (edit.kind === EditKind.Remove || (typeof edit.value === 'object' && edit.value !== null))
  );
};

/** The fold of the configuration stream. Of several edits to one row version, the first wins. */
const configFold: Fold<ConfigState> = {
  initial: emptyConfig,
  apply: (state, body, record) => {
    const next = isEdit(body) ? applyEdit(state, body, record.offset) : undefined;
    return next === undefined ? { state, accepted: false } : { state: next, accepted: true };
  },
};

export default configFold;
