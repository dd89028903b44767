import { Map as ImmutableMap } from 'immutable';
import { TableName } from '@wisteriapath/model';
import type ConfigState from './ConfigState';

/** A configuration whose tables have no rows. */
const emptyConfig: ConfigState = {
  tables: {
    [TableName.Routes]: ImmutableMap(),
    [TableName.Pools]: ImmutableMap(),
    [TableName.Keys]: ImmutableMap(),
    [TableName.Workspaces]: ImmutableMap(),
    [TableName.Zones]: ImmutableMap(),
  },
  keysByHash: ImmutableMap(),
};

export default emptyConfig;
