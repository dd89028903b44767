import { List } from 'immutable';
import {
  decodeEnvelope,
  encodeEnvelope,
  type FoldedStream,
  type LogPort,
  type LogRecord,
  type RecordIds,
} from '@wisteriapath/log-client';
import type ConfigState from './ConfigState';
import configCodec from './configCodec';

/** Stream of the log that holds the checkpoints. */
const STREAM = 'config-checkpoints';
const MAX_CHUNK_CHARS = 65_536;

/** One part of a checkpoint, stored as one record. */
interface Chunk {
  /** Next offset of the configuration stream after the checkpoint. */
  readonly offset: number;
  /** SHA-256 of the text of the whole checkpoint, hexadecimal. */
  readonly sha256: string;
  /** Index of this chunk, from 0. */
  readonly chunk: number;
  /** Number of chunks of the checkpoint. */
  readonly chunks: number;
  readonly text: string;
}

const isChunk = (body: unknown): body is Chunk => {
  const chunk = body as Partial<Chunk> | null | undefined;
  return typeof chunk?.offset === 'number' && typeof chunk.text === 'string';
};

const extractChunks = (records: readonly LogRecord[]): Chunk[] =>
  records.flatMap((record) =>
    decodeEnvelope(record.payload)
      .map((envelope) => (isChunk(envelope.body) ? [envelope.body] : []))
      .orDefault([]),
  );

/** Decodes the latest checkpoint that is complete and intact. */
const decodeLatest = (chunks: readonly Chunk[]): FoldedStream<ConfigState> | undefined => {
  const byOffset = List(chunks).groupBy((chunk) => chunk.offset);
  const offsets = [...byOffset.keys()].sort((a, b) => b - a);
  for (const offset of offsets) {
    const parts = new Map(byOffset.get(offset)!.map((chunk) => [chunk.chunk, chunk]));
    const { chunks: chunkCount, sha256 } = byOffset.get(offset)!.first()!;
    if (parts.size === chunkCount) {
      const ordered = [...parts.values()].sort((a, b) => a.chunk - b.chunk);
      const text = ordered.map((part) => part.text).join('');
      const folded = configCodec.decode({ nextOffset: offset, sha256, text });
      if (folded.isJust()) return folded.extract();
    }
  }
  return undefined;
};

const splitIntoChunks = (folded: FoldedStream<ConfigState>): Chunk[] => {
  const { nextOffset: offset, sha256, text } = configCodec.encode(folded);
  const chunks = Math.ceil(text.length / MAX_CHUNK_CHARS);
  return Array.from({ length: chunks }, (_unused, chunk) => ({
    offset,
    sha256,
    chunk,
    chunks,
    text: text.slice(chunk * MAX_CHUNK_CHARS, (chunk + 1) * MAX_CHUNK_CHARS),
  }));
};

/** Stores checkpoints of the configuration in the log, so that older records can expire. */
class ConfigCheckpoints {
  constructor(
    private readonly log: LogPort,
    private readonly ids: RecordIds,
  ) {}

  /** Appends a checkpoint. A failure is ignored, since the next interval writes another one. */
  async write(folded: FoldedStream<ConfigState>): Promise<void> {
    const payloads = splitIntoChunks(folded).map((body) =>
      encodeEnvelope({ id: this.ids.next(), body }),
    );
    await this.log.append(STREAM, payloads);
  }

  /**
   * Returns the complete checkpoint with the highest offset; undefined if there is none or the log
   * is unreachable.
   */
  async findLatest(): Promise<FoldedStream<ConfigState> | undefined> {
    const chunks: Chunk[] = [];
    let from = 0;
    for (;;) {
      const read = await this.log.read(STREAM, from, 0);
      if (read.isNothing()) return undefined;
      const batch = read.unsafeCoerce();
      chunks.push(...extractChunks(batch.records));
      const last = batch.records.at(-1);
      if (last === undefined || last.offset + 1 >= batch.endOffset) return decodeLatest(chunks);
      from = last.offset + 1;
    }
  }
}

export default ConfigCheckpoints;
