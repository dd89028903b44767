import type { Pool, Route, TableName, WorkspaceKey, Workspace, Zone } from '@wisteriapath/model';

/** The type of row values, by table. */
interface RowValueByTable {
  [TableName.Routes]: Route;
  [TableName.Pools]: Pool;
  [TableName.Keys]: WorkspaceKey;
  [TableName.Workspaces]: Workspace;
  [TableName.Zones]: Zone;
}

export default RowValueByTable;
