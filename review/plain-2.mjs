/** A stand-in for an engine of a plain service. It runs what it is sent and answers, and registers itself in the store. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 1_200;

const startPlain = async ({ id, service, zone, store, workMs = 20, onRun }) => {
  const born = Date.now();
  let beats = 0;
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const attempt = String(request.headers['attempt-id']);
      response.setHeader('Attempt-Id', attempt);
      if (request.headers['expect-instance'] !== id) {
        response.writeHead(421, { 'Instance-Id': id, 'Not-Executed': '1' }).end();
        return;
      }
      const body = Buffer.concat(chunks);
      onRun({
        engine: id,
        service,
        attempt,
        tenant: request.headers.tenant,
        path: request.url,
        body,
      });
      setTimeout(() => {
        response.setHeader('Server-Stamp', `stamp.${id}.${attempt}`);
        response.writeHead(200, { 'Content-Type': 'text/plain' }).end(`answer to ${attempt}`);
      }, workMs);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const register = () => {
    beats += 1;
    const entry = {
      service,
      address: `${HOST}:${server.address().port}`,
      zone,
      version: 'v1',
      slots: 16,
      state: 'ready',
      cold_left_ms: 0,
      seq: beats,
      born,
    };
    store.write('keyed.servers', id, JSON.stringify(entry));
  };
  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  return {
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startPlain;
