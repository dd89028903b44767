import type { Folded } from '@wisteriapath/log-client';
import { sha256Hex } from '@wisteriapath/model';
import type ConfigState from './ConfigState';

const CHUNK_CHARS = 65_536;

/**
 * Splits a fold into checkpoint record bodies. Two checkpoints at one offset have the same hash.
 *
 * @example
 * await log.append('config-checkpoints', encodeCheckpoint(replica.snapshot).map(envelope));
 */
const encodeCheckpoint = (folded: Folded<ConfigState>): readonly object[] => {
  const tables = Object.entries(folded.state.tables).map(([table, rows]) => [
    table,
    [...rows.entries()].sort(([a], [b]) => (a < b ? -1 : 1)),
  ]);
  const text = JSON.stringify({ tables, recentVerdicts: [...folded.recentVerdicts.entries()] });
  const sha256 = sha256Hex(text);
  const chunks = Math.max(1, Math.ceil(text.length / CHUNK_CHARS));
  return Array.from({ length: chunks }, (_unused, chunk) => ({
    offset: folded.nextOffset,
    sha256,
    chunk,
    chunks,
    text: text.slice(chunk * CHUNK_CHARS, (chunk + 1) * CHUNK_CHARS),
  }));
};

export default encodeCheckpoint;
