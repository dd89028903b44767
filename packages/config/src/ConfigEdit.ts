import type { TableName } from '@wisteriapath/model';
import type EditKind from './EditKind';

/** One edit of one row, valid only against the version it names. */
interface ConfigEdit {
  readonly kind: EditKind;
  readonly table: TableName;
  readonly name: string;
  /** Version that the row must have; 0 for a row that must not exist. */
  readonly expectedVersion: number;
  /** The new value; absent when removing. */
  readonly value?: unknown;
}

export default ConfigEdit;
