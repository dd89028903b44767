import type { TableName } from '@wisteriapath/model';
import type EditKind from './EditKind';

/** An edit of one row. It is accepted only if the row has the expected version. */
interface ConfigEdit {
  readonly kind: EditKind;
  readonly table: TableName;
  readonly name: string;
  /** Version that the row must have; 0 if the row must not exist. */
  readonly expectedVersion: number;
  /** The new value; absent for a removal. */
  readonly value?: unknown;
}

export default ConfigEdit;
