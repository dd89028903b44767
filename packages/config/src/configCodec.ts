import { Map as ImmutableMap, OrderedMap } from 'immutable';
import { Just, Nothing } from 'purify-ts';
import type { RecordVerdict, SnapshotCodec } from '@wisteriapath/log-client';
import { sha256Hex, TableName, type WorkspaceKey } from '@wisteriapath/model';
import type ConfigState from './ConfigState';
import type Row from './Row';

interface SnapshotContent {
  readonly tables: [TableName, [string, Row][]][];
  readonly recentVerdicts: [string, RecordVerdict][];
}

const byName = ([a]: [string, Row], [b]: [string, Row]): number => (a < b ? -1 : 1);

/**
 * Serializes the configuration. States that are folded from the same records have the same text,
 * and therefore the same hash.
 */
const configCodec: SnapshotCodec<ConfigState> = {
  encode: ({ nextOffset, recentVerdicts, state }) => {
    const content: SnapshotContent = {
      tables: Object.values(TableName).map((table) => [
        table,
        [...state.tables[table].entries()].sort(byName),
      ]),
      recentVerdicts: [...recentVerdicts.entries()],
    };
    const text = JSON.stringify(content);
    return { nextOffset, sha256: sha256Hex(text), text };
  },
  decode: ({ nextOffset, sha256, text }) => {
    if (sha256Hex(text) !== sha256) return Nothing;
    const content = JSON.parse(text) as SnapshotContent;
    const tables = Object.fromEntries(
      content.tables.map(([table, rows]) => [table, ImmutableMap(rows)]),
    ) as ConfigState['tables'];
    const keysByHash = ImmutableMap(
      [...tables[TableName.Keys]].map(([name, row]) => [(row.value as WorkspaceKey).sha256, name]),
    );
    const recentVerdicts = OrderedMap(content.recentVerdicts);
    return Just({ nextOffset, recentVerdicts, state: { tables, keysByHash } });
  },
};

export default configCodec;
