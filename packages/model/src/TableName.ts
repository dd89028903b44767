/** Names of the configuration tables that operators edit. */
enum TableName {
  Routes = 'routes',
  Pools = 'pools',
  Keys = 'keys',
  Workspaces = 'workspaces',
  Zones = 'zones',
}

export default TableName;
