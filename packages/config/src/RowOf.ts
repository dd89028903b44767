import type { Pool, Route, TableName, TenantKey, Workspace, Zone } from '@wisteriapath/model';

/** The type of a row's value, by table. */
interface RowOf {
  [TableName.Routes]: Route;
  [TableName.Pools]: Pool;
  [TableName.Keys]: TenantKey;
  [TableName.Workspaces]: Workspace;
  [TableName.Zones]: Zone;
}

export default RowOf;
