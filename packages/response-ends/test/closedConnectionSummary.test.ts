/** What is said of connections that were closed because of a limit. */
import CloseReason from '../src/CloseReason';
import ClosedConnectionSummary from '../src/ClosedConnectionSummary';

const REPORT_INTERVAL_MS = 1_000;

// Guards against a line for each connection of a flood, and against connections that no line counts.
test('a flood of closed connections is told of once a second, and each is counted', () => {
  jest.useFakeTimers();
  try {
    const counts: number[] = [];
    const summary = new ClosedConnectionSummary((_, count) => counts.push(count));
    const reason = CloseReason.TooManyConnections;
    for (let count = 0; count < 100; count += 1) {
      summary.record({ reason, connections: 10, limit: 10 });
    }
    expect(counts).toEqual([1]);
    jest.advanceTimersByTime(REPORT_INTERVAL_MS);
    expect(counts).toEqual([1, 99]);
    jest.advanceTimersByTime(2 * REPORT_INTERVAL_MS);
    summary.record({ reason, connections: 10, limit: 10 });
    expect(counts).toEqual([1, 99, 1]);
  } finally {
    jest.useRealTimers();
  }
});
