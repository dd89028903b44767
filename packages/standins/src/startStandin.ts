import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import Router from '@koa/router';
import Koa, { type Middleware } from 'koa';
import FaultSwitch from './FaultSwitch';
import type RunningStandin from './RunningStandin';
import readJson from './readJson';

interface StandinDefinition {
  readonly port: number;
  readonly routes: (router: Router) => void;
  readonly state: () => unknown;
  /** Handles faults specific to this stand-in; called with every body sent to `/faults`. */
  readonly onFault?: (fault: Record<string, unknown>) => void;
  readonly onClose?: () => void;
}

const LOOPBACK = '127.0.0.1';
const REQUEST_ID_HEADER = 'x-request-id';

/** Repeats the id of a request in its answer, whatever that is. */
const echoRequestId: Middleware = async (context, next) => {
  const requestId = context.get(REQUEST_ID_HEADER);
  if (requestId !== '') context.set(REQUEST_ID_HEADER, requestId);
  await next();
};

/**
 * Starts the HTTP server of a stand-in on the loopback address, with its routes, `/faults` and
 * `/state`.
 *
 * @example
 * const service = await startStandin({ port: 0, routes, state });
 */
const startStandin = async (definition: StandinDefinition): Promise<RunningStandin> => {
  const faults = new FaultSwitch();
  const setFault = (fault: object) => {
    faults.set(fault);
    definition.onFault?.(fault as Record<string, unknown>);
  };
  let connections = 0;
  const state = () => ({ ...(definition.state() as object), connections });
  const router = new Router();
  router.get('/state', (context) => {
    context.body = state();
  });
  router.post('/faults', async (context) => {
    setFault(await readJson(context));
    context.body = {};
  });
  definition.routes(router);
  const app = new Koa();
  app.silent = true;
  app.use(echoRequestId).use(faults.middleware).use(router.routes());
  const server = createServer(app.callback());
  server.keepAliveTimeout = 60_000;
  server.on('connection', () => {
    connections += 1;
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(definition.port, LOOPBACK, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${LOOPBACK}:${port}`,
    state,
    setFault,
    close: () =>
      new Promise((resolve) => {
        definition.onClose?.();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};

export default startStandin;
