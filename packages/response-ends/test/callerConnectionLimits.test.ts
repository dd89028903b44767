/** How many connections and requests of callers a process admits, by its memory and descriptors. */
import callerConnectionLimits from '../src/callerConnectionLimits';
import readDescriptorLimit from '../src/readDescriptorLimit';

const MB = 1_048_576;

describe('the limits of connections', () => {
  // Guards against a limit that leaves no descriptors for targets, or that exceeds the memory of the machine.
  test.each([
    { memoryMb: 350, descriptors: 20_000, connections: 1_400 },
    { memoryMb: 210, descriptors: Infinity, connections: 840 },
    { memoryMb: 350, descriptors: 160, connections: 112 },
    { memoryMb: 350, descriptors: 64, connections: 16 },
    { memoryMb: 0.01, descriptors: 1, connections: 1 },
    { memoryMb: 350, descriptors: Infinity, heapMb: 165, connections: 1_400 },
    { memoryMb: 602, descriptors: Infinity, heapMb: 165, connections: 1_466 },
  ])(
    '$connections with $memoryMb MB and $descriptors',
    ({ memoryMb, descriptors, heapMb = Infinity, connections }) => {
      const limits = callerConnectionLimits({
        memoryBytes: memoryMb * MB,
        heapBytes: heapMb * MB,
        descriptors,
      });
      expect(limits).toEqual({
        connections,
        requestsInConnection: 64,
        requests: 2 * connections,
        unreadBytes: Math.floor((memoryMb * MB) / 10),
      });
    },
  );

  test('know the descriptors that the process may open', () => {
    expect(readDescriptorLimit()).toBeGreaterThan(0);
  });
});
