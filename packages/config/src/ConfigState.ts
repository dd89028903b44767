import type { Map as ImmutableMap } from 'immutable';
import type { TableName } from '@wisteriapath/model';
import type Row from './Row';

/** The configuration: all tables, folded from the log. */
interface ConfigState {
  /** Rows of each table, by name. */
  readonly tables: Readonly<Record<TableName, ImmutableMap<string, Row>>>;
  /** Names of the rows of the keys table, by the SHA-256 of their secret. */
  readonly keysByHash: ImmutableMap<string, string>;
}

export default ConfigState;
