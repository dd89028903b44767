/** What is said of connections that were closed because of a limit. */
import { CloseReason } from '@wisteriapath/response-ends';
import ClosedCallers from '../src/ClosedCallers';
import EdgeMetrics from '../src/EdgeMetrics';

const LINE_INTERVAL_MS = 1_000;

// Guards against a line for each connection of a flood, and against connections that no line counts.
test('a flood of closed connections is counted, and logged in a line a second', async () => {
  jest.useFakeTimers();
  try {
    const counts: unknown[] = [];
    const metrics = new EdgeMetrics();
    const closed = new ClosedCallers({ event: (_, fields) => counts.push(fields?.count) }, metrics);
    const reason = CloseReason.TooManyConnections;
    for (let count = 0; count < 100; count += 1) {
      closed.record({ reason, connections: 10, limit: 10 });
    }
    expect(counts).toEqual([1]);
    jest.advanceTimersByTime(LINE_INTERVAL_MS);
    expect(counts).toEqual([1, 99]);
    jest.advanceTimersByTime(2 * LINE_INTERVAL_MS);
    closed.record({ reason, connections: 10, limit: 10 });
    expect(counts).toEqual([1, 99, 1]);
    const { values } = await metrics.closedConnections.get();
    expect(values).toMatchObject([{ labels: { reason }, value: 101 }]);
  } finally {
    jest.useRealTimers();
  }
});
