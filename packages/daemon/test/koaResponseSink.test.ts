/** What bounds a response to a caller of the own protocol. */
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { ResponseFraming } from '@wisteriapath/response-ends';
import Koa from 'koa';
import KoaResponseSink from '../src/KoaResponseSink';

/** Sends one request and returns all bytes that come until the connection ends, without the date. */
const receive = async (port: number): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n');
  let text = '';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString();
    if (text.endsWith('0\r\n\r\n')) socket.end();
  });
  await new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  return text.replace(/date: .*\r\n/i, '');
};

test.each([ResponseFraming.Chunks, ResponseFraming.Close])(
  'a response that is framed by %s is shown so',
  async (framing) => {
    const app = new Koa();
    app.use((context) => {
      const sink = new KoaResponseSink(context);
      sink.begin(200, { 'content-type': 'text/plain' }, framing);
      void sink.write('booked');
      sink.end();
    });
    const server = app.listen(0, '127.0.0.1');
    try {
      await once(server, 'listening');
      expect(await receive((server.address() as AddressInfo).port)).toMatchSnapshot();
    } finally {
      server.close();
    }
  },
);
