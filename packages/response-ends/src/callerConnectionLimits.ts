import type ConnectionLimits from './ConnectionLimits';
import type ProcessLimits from './ProcessLimits';

/** Fraction of the process's memory for connections of callers and the heads of their requests. */
const CONNECTION_MEMORY_FRACTION = 0.25;
/** The same of its heap, which does not grow with the memory of the machine, beyond what the process itself needs. */
const CONNECTION_HEAP_FRACTION = 0.65;
const OWN_HEAP_BYTES = 24 * 1_048_576;
/** A connection with a head of 8 kB in many small lines takes about 60 kB of the heap. */
const CONNECTION_BYTES = 65_536;
/** Fraction of the process's memory for bytes that were read from connections and not parsed. A connection holds up to 80 kB of them. */
const UNREAD_MEMORY_FRACTION = 0.1;
/** Fraction of the process's descriptors for connections of callers; the others are for targets, peers, the store and files. */
const CONNECTION_DESCRIPTOR_FRACTION = 0.7;
/** Descriptors for the others at least. A process without work has about 30 open. */
const OWN_DESCRIPTORS = 48;
/** Clients that pipeline send a few requests ahead. One read of 64 kB can hold 2,000 short ones, each of several kB once parsed. */
const REQUESTS_IN_CONNECTION = 64;
/** Requests under way for each connection, on average, before none may pipeline. */
const REQUESTS_PER_CONNECTION = 2;

/**
 * Returns what callers may use of a process. It answers the load of clients that open connections without end or pipeline requests
 * without end; a client that sends one request on one connection does not come near.
 *
 * @example
 * callerConnectionLimits({ memoryBytes: 367_001_600, heapBytes: 173_015_040, descriptors: 20_000 }); // { connections: 1400, requests: 2800, ... }
 */
const callerConnectionLimits = ({
  memoryBytes,
  heapBytes,
  descriptors,
}: ProcessLimits): ConnectionLimits => {
  const byMemory = (memoryBytes * CONNECTION_MEMORY_FRACTION) / CONNECTION_BYTES;
  const byHeap = ((heapBytes - OWN_HEAP_BYTES) * CONNECTION_HEAP_FRACTION) / CONNECTION_BYTES;
  const byDescriptors = Math.min(
    descriptors * CONNECTION_DESCRIPTOR_FRACTION,
    descriptors - OWN_DESCRIPTORS,
  );
  const connections = Math.max(1, Math.floor(Math.min(byMemory, byHeap, byDescriptors)));
  return {
    connections,
    requestsInConnection: REQUESTS_IN_CONNECTION,
    requests: REQUESTS_PER_CONNECTION * connections,
    unreadBytes: Math.floor(memoryBytes * UNREAD_MEMORY_FRACTION),
  };
};

export default callerConnectionLimits;
