/** Builds and formats the trace of a request from the logs of two instances. */
import { formatTrace, readTrace } from '../src';

const line = (second: number, instance: string, event: string, fields = ''): string =>
  `time=2026-12-04T12:00:${String(second).padStart(2, '0')}.000Z instance=${instance} event=${event} ${fields}`;

const source = (lines: readonly string[]) =>
  async function* read(): AsyncGenerator<string> {
    yield* lines;
  };

const ENTRY = source([
  line(1, 'a1', 'desired_state', 'version=7 routes=3 pools=2'),
  line(2, 'a1', 'target_seen', 'target=e1 pool=guide address=10.1.0.3:80 leaving=false'),
  line(2, 'a1', 'target_seen', 'target=e2 pool=guide address=10.1.0.4:80 leaving=false'),
  line(20, 'a1', 'store_reachable', 'reachable=false call=/read reason=timeout'),
  line(24, 'a1', 'attempt_failed', 'request=r9 route=cup target=e1 outcome=broken'),
  line(25, 'a1', 'request_ended', 'request=r9 route=cup model=m1 target=e2 took_ms=3000'),
  line(26, 'a1', 'request_ended', 'request=r8 route=cup model=m1 target=e2 took_ms=10'),
]);

const PLACER = source([
  line(3, 'b1', 'load_decided', 'engine=e2 model=m1'),
  line(21, 'b1', 'load_decided', 'engine=e2 model=m1'),
  line(22, 'b1', 'load_decided', 'engine=e2 model=m2'),
  'a line of another program',
  'time=yesterday instance=b1 event=started',
  line(30, 'b1', 'order_ended', 'engine=e2 model=m1'),
]);

test('formats the lines of a request, the view of each instance and the orders for the model', async () => {
  expect(formatTrace('r9', await readTrace('r9', [PLACER, ENTRY]))).toMatchSnapshot();
});

test('reports a request that is in none of the files', async () => {
  expect(formatTrace('r1', await readTrace('r1', [ENTRY]))).toMatchSnapshot();
});

test('shows the era of the store that an instance went by before and after the store came back from a copy', async () => {
  const lines = source([
    line(1, 'b2', 'records_listed', 'topic=operator source=store to=1 era=1 keys=1'),
    line(2, 'b2', 'request_ended', 'request=r3 route=look model="" target=e1 version=6'),
    line(4, 'b2', 'store_era_changed', 'topic=operator source=a1 old=1 new=2 old_to=4 to=2'),
    line(5, 'b2', 'request_refused', 'request=r3 kind=unauthenticated version=7'),
  ]);
  const text = formatTrace('r3', await readTrace('r3', [lines]));
  expect(text).toContain('era of the store, topic operator: 1, from store, for 1.0 s');
  expect(text).toContain('era of the store, topic operator: 2 after 1, from a1, for 1.0 s');
});

test('skips what a log collector puts before a line', async () => {
  const prefixed = source([`  -3.1 a1 ${line(5, 'a1', 'request_refused', 'request=r2 kind=x')}`]);
  const { entries, unreadableLines } = await readTrace('r2', [prefixed]);
  expect([entries.length, unreadableLines]).toEqual([1, 0]);
});
