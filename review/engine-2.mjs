/**
 * A stand-in for a model engine that holds one model: it streams events, may preempt a run in the middle of its stream, goes on with a run
 * whose connection has closed, and reports its runs as of 200 ms ago.
 */
import { fork } from 'node:child_process';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 1_200;
const REPORT_LAG_MS = 200;
const ACCEPTOR = fileURLToPath(new URL('acceptor-2.mjs', import.meta.url));

/** `planOf` tells how a request is run: events, the time between them, and behind which one it is preempted, and for how long. */
const startEngine = async ({ id, service, zone, model, store, planOf, onWork }) => {
  const born = Date.now();
  const runs = [];
  let beats = 0;
  const report = () => {
    const atMs = performance.now() - REPORT_LAG_MS;
    const present = runs.filter(({ fromMs, toMs }) => fromMs <= atMs && atMs < toMs);
    const active = present.filter(({ isWaiting }) => !isWaiting);
    return {
      born,
      stage: 'both',
      models: [{ name: model, version: 1, adapters: [] }],
      busy: false,
      seq: 0,
      queued: present.length - active.length,
      active: active.length,
      kv_used: 1_000,
      kv_total: 90_000,
      handles: 0,
      runs: active.map(({ attempt, events }) => [attempt, events * 7, events, 5]),
    };
  };
  const work = async (request, response) => {
    const attempt = String(request.headers['attempt-id']);
    const from = Number(request.headers['last-event-id'] ?? 0);
    const { events, everyMs, pause } = planOf({ path: request.url, from });
    const run = {
      attempt,
      events: from,
      fromMs: performance.now(),
      toMs: Infinity,
      isWaiting: false,
    };
    runs.push(run);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': attempt,
      'Server-Stamp': `stamp.${id}.${attempt}`,
      'Weight-Versions': '1',
    });
    while (run.events < events) {
      run.events += 1;
      onWork({ engine: id, attempt, event: run.events, from, hasCaller: !response.destroyed });
      if (!response.destroyed) response.write(`id: ${run.events}\ndata: piece ${run.events}\n\n`);
      run.isWaiting = pause?.behind === run.events;
      await sleep(run.isWaiting ? pause.forMs : everyMs);
      run.isWaiting = false;
    }
    run.toMs = performance.now();
    response.end();
  };
  const server = createServer((request, response) => {
    request.on('error', () => {});
    response.on('error', () => {});
    request.resume().on('end', () => {
      const json = (status, body) =>
        response
          .writeHead(status, { 'Content-Type': 'application/json' })
          .end(JSON.stringify(body));
      if (request.headers['expect-instance'] !== id) json(421, {});
      else if (request.url === '/v1/report') json(200, report());
      else if (request.url === '/v1/order') json(200, {});
      else work(request, response);
    });
  });
  server.keepAliveTimeout = 10_000;
  const acceptor = fork(ACCEPTOR, { stdio: 'inherit' });
  const port = await new Promise((resolve) => {
    acceptor.on('message', (message, socket) => {
      if (message.port !== undefined) resolve(message.port);
      else if (socket) {
        server.emit('connection', socket);
        socket.resume();
      }
    });
  });
  const register = () => {
    beats += 1;
    const entry = {
      service,
      address: `${HOST}:${port}`,
      zone,
      version: 'v1',
      slots: 16,
      state: 'ready',
      cold_left_ms: 0,
      seq: beats,
      born,
      stage: 'both',
      models: [{ name: model, version: 1, adapters: [] }],
      available: { in_memory: [model], on_disk: [model] },
    };
    store.write('keyed.servers', id, JSON.stringify(entry));
  };
  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  return {
    id,
    port,
    /** Stops and continues to accept connections; those that are open go on. */
    pauseAccepting: () => acceptor.kill('SIGSTOP'),
    resumeAccepting: () => acceptor.kill('SIGCONT'),
    close: () => {
      clearInterval(timer);
      acceptor.kill('SIGKILL');
      server.closeAllConnections();
    },
  };
};

export default startEngine;
