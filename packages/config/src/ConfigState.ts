import type { Map as ImmutableMap } from 'immutable';
import type { TableName } from '@wisteriapath/model';
import type Row from './Row';

/** All tables as folded from the log. */
interface ConfigState {
  readonly tables: Readonly<Record<TableName, ImmutableMap<string, Row>>>;
  /** Names of key rows by the hash of their secret. */
  readonly keysByHash: ImmutableMap<string, string>;
}

export default ConfigState;
