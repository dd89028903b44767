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
  HttpListener.open(address, {}, log, (_, response) => {
    void registry.metrics().then((text) => {
      response.writeHead(OK, { 'content-type': registry.contentType }).end(text);
    });
  });

export default serveMetrics;
