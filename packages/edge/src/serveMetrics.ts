import type { Registry } from 'prom-client';
import type { EventLog } from '@wisteriapath/fleet';
import HttpListener from './HttpListener';

const OK = 200;

/**
 * Serves the metrics of a registry as text, at every path of an address.
 *
 * @example
 * const listener = await serveMetrics('10.1.0.25:7610', registry, log);
 */
const serveMetrics = (address: string, registry: Registry, log: EventLog): Promise<HttpListener> =>
  HttpListener.open(address, {}, log, async (_, response) => {
    const text = await registry.metrics();
    // The request may have been refused meanwhile.
    if (response.headersSent) return;
    response.writeHead(OK, { 'content-type': registry.contentType }).end(text);
  });

export default serveMetrics;
