import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import type StoreView from '../src/StoreView';
import serveRecords from '../src/serveRecords';

const span = { from: null, to: 1, records: [], hasEveryRecord: true, settlesInMs: 0 };
const view = { end: () => 1, since: () => span } as unknown as StoreView;

/** Returns the status line for a request with this target. */
const statusLineOf = async (port: number, target: string): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  try {
    socket.write(`GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    return bytes.toString().split('\r\n')[0];
  } finally {
    socket.destroy();
  }
};

test.each([
  '/records?topic=targets',
  '/records?topic=targets&from=0',
  '/records?topic=%E0%A4%A',
  '/records',
  '/',
  '//',
  '//:',
  'http://[',
])('a peer that asks for %s gets an answer', async (target) => {
  const listener = await serveRecords('127.0.0.1:0', view, { event: () => {} });
  try {
    const { port } = listener.server.address() as AddressInfo;
    expect(await statusLineOf(port, target)).toMatchSnapshot();
  } finally {
    listener.destroy();
  }
});
