import type { ServerOptions } from 'node:http';

const MAX_HEADER_BYTES = 65_536;
const HEADER_TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Options of the HTTP server for callers until a desired state sets its limits. */
const callerServerOptions: ServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  headersTimeout: HEADER_TIMEOUT_MS,
  requestTimeout: 0,
  keepAliveTimeout: IDLE_TIMEOUT_MS,
  connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  noDelay: true,
};

export default callerServerOptions;
