import type { EventLog } from '@wisteriapath/fleet';
import HttpListener from './HttpListener';

/**
 * Answers every request with 200 while the instance is ready to serve callers, and with 503 otherwise.
 *
 * @example
 * const listener = await serveReadiness('10.1.0.25:8224', log, () => isReady);
 */
const serveReadiness = (
  address: string,
  log: EventLog,
  isReady: () => boolean,
): Promise<HttpListener> =>
  HttpListener.open(address, {}, log, (_, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': '0' }).end();
  });

export default serveReadiness;
