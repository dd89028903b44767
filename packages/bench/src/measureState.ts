import { configCodec, configFold, EditKind } from '@wisteriapath/config';
import {
  emptyFoldedStream,
  encodeEnvelope,
  foldRecord,
  type LogRecord,
} from '@wisteriapath/log-client';
import { systemClock, TableName } from '@wisteriapath/model';
import { messages } from '@wisteriapath/peer';
import { createClaimsFold } from '@wisteriapath/routing';

const ROUTE_COUNTS = [1_000, 5_000, 13_000];
const CLAIM_COUNT = 50_000;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

const routeRecord = (offset: number): LogRecord => ({
  offset,
  atMs: 0,
  payload: encodeEnvelope({
    id: `incarnation:${offset}`,
    body: {
      kind: EditKind.Set,
      table: TableName.Routes,
      name: `adapter-${offset}`,
      expectedVersion: 0,
      value: {
        kind: 'model',
        model: `model-${offset % 110}`,
        modelMb: 14_000,
        adapter: `adapter-${offset}`,
        adapterMb: 200,
        pool: 'guide-models',
        workspaces: ['omuriro', 'wickramasinghe'],
        open: false,
        idempotent: true,
        requestClass: 'interactive',
        deadlineMs: 30_000,
        staleKeysLimitS: 60,
      },
    },
  }),
});

const claimRecord = (offset: number): LogRecord => ({
  offset,
  atMs: 0,
  payload: encodeEnvelope({
    id: `incarnation:${offset}`,
    body: {
      kind: 'claim',
      key: offset.toString(16).padStart(64, '0'),
      claimId: `incarnation:${offset}`,
      bodySha256: offset.toString(16).padStart(64, 'f'),
    },
  }),
});

const heapMb = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_MB;
};

const measureConfig = (size: number): string => {
  const before = heapMb();
  const startedMs = systemClock.nowMs();
  let folded = emptyFoldedStream(configFold);
  for (let offset = 0; offset < size; offset += 1) {
    folded = foldRecord(configFold, folded, routeRecord(offset));
  }
  const foldMs = systemClock.nowMs() - startedMs;
  const heap = heapMb() - before;
  const snapshot = configCodec.encode(folded);
  const decodingMs = systemClock.nowMs();
  configCodec.decode(snapshot);
  const decodeMs = systemClock.nowMs() - decodingMs;
  const cells = [
    size,
    heap.toFixed(1),
    foldMs.toFixed(0),
    (snapshot.text.length / BYTES_PER_KB).toFixed(0),
  ];
  return `| ${[...cells, decodeMs.toFixed(0)].join(' | ')} |\n`;
};

const measureClaimsState = (): string => {
  const before = heapMb();
  const fold = createClaimsFold(1_000);
  const startedMs = systemClock.nowMs();
  let folded = emptyFoldedStream(fold);
  for (let offset = 0; offset < CLAIM_COUNT; offset += 1) {
    folded = foldRecord(fold, folded, claimRecord(offset));
  }
  const foldMs = systemClock.nowMs() - startedMs;
  const bytes = ((heapMb() - before) * BYTES_PER_MB) / folded.state.size;
  return `${CLAIM_COUNT} claims: ${bytes.toFixed(0)} B of heap each, ${((foldMs * 1e3) / CLAIM_COUNT).toFixed(1)} microseconds to fold\n`;
};

const measureHeartbeatBytes = (): string => {
  const positions = ['config', 'roles'].map((stream) => ({
    stream,
    nextOffset: 100_000,
    ageMs: 812.25,
  }));
  const identity = { name: 'entry-a-017', failureDomain: 'domain-a', incarnation: 'abcdefghijkl' };
  const request = messages.HelloRequest.encode({ ...identity, positions }).finish().length;
  const reply = messages.HelloReply.encode({ ...identity, positions, newer: [] }).finish().length;
  return `heartbeat: request ${request} B, reply ${reply} B, without framing\n`;
};

/**
 * Prints the cost of state: memory and fold time of configuration rows and claims, and the size of
 * heartbeats.
 *
 * @example
 * await measureState();
 */
const measureState = async (): Promise<void> => {
  process.stdout.write('| routes | heap MB | fold ms | snapshot KB | decode ms |\n');
  process.stdout.write('| --- | --- | --- | --- | --- |\n');
  ROUTE_COUNTS.forEach((size) => process.stdout.write(measureConfig(size)));
  process.stdout.write(measureClaimsState());
  process.stdout.write(measureHeartbeatBytes());
};

export default measureState;
