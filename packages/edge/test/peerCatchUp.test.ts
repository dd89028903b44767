/** What a peer says under a status that no answer can have is not merged. */
import { type Heartbeat, recordSpanCodec } from '@wisteriapath/fleet';
import { systemClock } from '@wisteriapath/model';
import startStatusServer from '@wisteriapath/response-ends/test/support/startStatusServer';
import EdgeMetrics from '../src/EdgeMetrics';
import PeerCatchUp from '../src/PeerCatchUp';
import type StoreView from '../src/StoreView';

const END = { era: 0, offset: 3 };
const SPAN = { from: null, to: END, records: [], hasEveryRecord: true, settlesInMs: 0 };
const SETTLED_AFTER_MS = 400;

test.each([
  ['600', 0],
  ['999', 0],
  ['200', 1],
])('the records of a peer that answers %s are merged %i times', async (status, merges) => {
  const server = await startStatusServer(recordSpanCodec.encode(SPAN));
  server.state.status = status;
  const [host, port] = server.address.split(':');
  let merged = 0;
  const failures: unknown[] = [];
  const view = {
    end: () => ({ era: 0, offset: merged }),
    observeEnd: () => {},
    mergeFromPeer: () => {
      merged += 1;
    },
  } as unknown as StoreView;
  const log = { event: (_: string, { error }: { error?: unknown }) => failures.push(error) };
  const metrics = new EdgeMetrics();
  const catchUp = new PeerCatchUp(Number(port), { clock: systemClock, log, metrics, view });
  try {
    catchUp.observe({
      member: { name: 'peer', host },
      operatorOffset: 0,
      targetsOffset: 1,
    } as Heartbeat);
    await systemClock.sleep(SETTLED_AFTER_MS);
    expect(merged).toBe(merges);
    expect(failures).toHaveLength(1 - merges);
  } finally {
    await catchUp.close();
    server.close();
  }
});
