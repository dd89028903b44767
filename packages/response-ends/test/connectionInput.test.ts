/** What callers send is parsed to its end, in slices, whatever takes it and when. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import CallerServer from '../src/CallerServer';

const BODY_BYTES = 400_000;
const CLIENTS = 20;
const DELAY_MS = 50;

const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
const body = Buffer.alloc(BODY_BYTES, 'x');

/** Reads a request to its end and answers with the number of bytes. */
const count = (request: IncomingMessage, response: ServerResponse) => {
  let sizeBytes = 0;
  request.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
  });
  request.on('end', () => response.end(`<${sizeBytes}>`));
};

const takers = {
  'at once': count,
  'after a while': (request: IncomingMessage, response: ServerResponse) => {
    setTimeout(() => count(request, response), DELAY_MS);
  },
  'in a later turn': (request: IncomingMessage, response: ServerResponse) => {
    setImmediate(() => count(request, response));
  },
  'after a pause': (request: IncomingMessage, response: ServerResponse) => {
    count(request, response);
    request.once('data', () => {
      request.pause();
      setTimeout(() => request.resume(), DELAY_MS);
    });
  },
};

// Guards against a connection that is not parsed on, as its request held too much when its bytes came.
test.each(Object.entries(takers))('bodies that are taken %s are read whole', async (_, take) => {
  const server = new CallerServer({}, take, () => {});
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const sockets = Array.from({ length: CLIENTS }, () => connect(port, '127.0.0.1'));
  try {
    const answers = sockets.map(async (socket) => {
      socket.write(head);
      socket.write(body);
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      return /<(\d+)>/.exec(bytes.toString())?.[1];
    });
    expect(await Promise.all(answers)).toEqual(answers.map(() => `${BODY_BYTES}`));
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.closeAllConnections();
    server.close();
  }
});

// Guards against requests behind others on a connection that are parsed while Node.js waits for their answers to be taken.
test('pipelined requests whose answers are not taken for a while are all answered', async () => {
  const REQUESTS = 40;
  const ANSWER_BYTES = 100_000;
  const server = new CallerServer(
    {},
    (_, response) => {
      response.end(Buffer.alloc(ANSWER_BYTES, 'x'));
    },
    () => {},
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let receivedBytes = 0;
  try {
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(REQUESTS));
    await new Promise((resolve) => {
      setTimeout(resolve, 4 * DELAY_MS);
    });
    await new Promise<void>((resolve) => {
      socket.on('data', (bytes: Buffer) => {
        receivedBytes += bytes.length;
        if (receivedBytes > REQUESTS * ANSWER_BYTES) resolve();
      });
      socket.resume();
    });
    expect(receivedBytes).toBeGreaterThan(REQUESTS * ANSWER_BYTES);
  } finally {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  }
});
