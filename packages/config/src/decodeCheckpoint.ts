import { Map as ImmutableMap, OrderedMap } from 'immutable';
import { Just, type Maybe, Nothing } from 'purify-ts';
import type { Folded, RecordVerdict } from '@wisteriapath/log-client';
import { sha256Hex, TableName, type TenantKey } from '@wisteriapath/model';
import type ConfigState from './ConfigState';
import type Row from './Row';

interface Content {
  readonly tables: [TableName, [string, Row][]][];
  readonly recentVerdicts: [string, RecordVerdict][];
}

/**
 * Rebuilds a fold from the joined text of a checkpoint; `Nothing` if the text does not match its
 * hash.
 *
 * @example
 * decodeCheckpoint(offset, sha256, text).ifJust((folded) => replica.restore(folded));
 */
const decodeCheckpoint = (
  nextOffset: number,
  sha256: string,
  text: string,
): Maybe<Folded<ConfigState>> => {
  if (sha256Hex(text) !== sha256) return Nothing;
  const content = JSON.parse(text) as Content;
  const tables = Object.fromEntries(
    content.tables.map(([table, rows]) => [table, ImmutableMap(rows)]),
  ) as ConfigState['tables'];
  const keysByHash = ImmutableMap(
    [...tables[TableName.Keys]].map(([name, row]) => [(row.value as TenantKey).sha256, name]),
  );
  const recentVerdicts = OrderedMap(content.recentVerdicts);
  return Just({ nextOffset, recentVerdicts, state: { tables, keysByHash } });
};

export default decodeCheckpoint;
