/** What bounds a response to a caller of the own protocol. */
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import Koa from 'koa';
import KoaResponseSink from '../src/KoaResponseSink';

/** Sends one request and returns all bytes that come until the connection ends, without the date. */
const receive = async (
  port: number,
  version = '1.1',
  onData: (text: string) => void = () => {},
): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  socket.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: keep-alive\r\n\r\n`);
  let text = '';
  let isComplete = false;
  socket.on('error', () => {
    text += '(reset)';
  });
  // A reset that arrives together with data is reported as an ordinary end, but the socket has no peer address.
  socket.on('end', () => {
    if (!isComplete && socket.remoteAddress === undefined) text += '(reset)';
  });
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString();
    onData(text);
    isComplete = text.endsWith('0\r\n\r\n') || text.endsWith('booked');
    if (isComplete) socket.end();
  });
  await new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  return text.replace(/date: .*\r\n/i, '');
};

const start = async (write: (sink: KoaResponseSink) => void) => {
  const app = new Koa();
  app.use((context) => write(new KoaResponseSink(context)));
  const server = app.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { port: (server.address() as AddressInfo).port, close: () => server.close() };
};

test.each<{ what: string; headers: Record<string, string> }>([
  { what: 'without a length is sent in chunks', headers: {} },
  { what: 'with a length is sent with it', headers: { 'content-length': '6' } },
])('a response $what', async ({ headers }) => {
  const server = await start((sink) => {
    sink.begin(200, { 'content-type': 'text/plain', ...headers });
    void sink.write('booked');
    sink.end();
  });
  try {
    expect(await receive(server.port)).toMatchSnapshot();
  } finally {
    server.close();
  }
});

test('a caller of HTTP/1.0 sees by a reset that a response was broken off', async () => {
  let abort = () => {};
  const server = await start((sink) => {
    abort = () => sink.abort();
    sink.begin(200, { 'content-type': 'text/plain' });
    void sink.write('boo');
  });
  const abortOnceReceived = (text: string) => {
    if (text.endsWith('boo')) abort();
  };
  try {
    expect(await receive(server.port, '1.0', abortOnceReceived)).toContain('(reset)');
  } finally {
    server.close();
  }
});
