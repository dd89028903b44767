import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

const HOST = '127.0.0.1';
/** More than the queue of the listener holds of connections that it has not accepted. */
const QUEUED_CONNECTIONS = 4;
/** Time in which the queue fills. */
const FILL_MS = 50;

const CODE = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => parentPort.postMessage({ text: bytes.toString('latin1') }));
  });
  server.listen({ port: 0, host: '${HOST}', backlog: 1 }, () => {
    parentPort.postMessage({ port: server.address().port });
    setTimeout(() => Atomics.wait(new Int32Array(workerData), 0, 0), 0);
  });
`;

/**
 * Starts a listener in a thread of its own that stands still with a full queue, so that no connection to it opens until it is
 * released. From then on it accepts connections, and keeps what they send.
 */
const startDeafListener = async () => {
  const gate = new SharedArrayBuffer(4);
  const worker = new Worker(CODE, { eval: true, workerData: gate });
  let received = '';
  const port = await new Promise<number>((resolve) => {
    worker.on('message', (message: { readonly port?: number; readonly text?: string }) => {
      received += message.text ?? '';
      if (message.port !== undefined) resolve(message.port);
    });
  });
  await sleep(FILL_MS);
  const sockets: Socket[] = [];
  for (let count = 0; count < QUEUED_CONNECTIONS; count += 1) {
    sockets.push(connect({ port, host: HOST }).on('error', () => {}));
  }
  await sleep(FILL_MS);
  const release = () => {
    sockets.forEach((socket) => socket.destroy());
    Atomics.store(new Int32Array(gate), 0, 1);
    Atomics.notify(new Int32Array(gate), 0);
  };
  return {
    address: `${HOST}:${port}`,
    received: () => received,
    release,
    close: async () => {
      release();
      await worker.terminate();
    },
  };
};

export default startDeafListener;
