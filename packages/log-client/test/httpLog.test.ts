/** An append that the log may have written is not reported as not appended. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import connectCodes from '@wisteriapath/response-ends/test/support/connectCodes';
import startLostServer from '@wisteriapath/response-ends/test/support/startLostServer';
import AppendResult from '../src/AppendResult';
import HttpLog from '../src/HttpLog';

describe('an append without an answer', () => {
  test.each(connectCodes)('may be written once its request was sent: %s', async (code) => {
    const server = await startLostServer(code);
    const log = new HttpLog(`http://127.0.0.1:${server.port}`);
    try {
      expect(await log.append('claims', ['one'])).toBe(AppendResult.Unknown);
      expect(server.received).toEqual(['/streams/claims/records']);
    } finally {
      await log.close();
      server.close();
    }
  });

  test('is not appended if no connection could be opened', async () => {
    const server = await startLostServer('');
    server.close();
    const log = new HttpLog(`http://127.0.0.1:${server.port}`);
    try {
      expect(await log.append('claims', ['one'])).toBe(AppendResult.NotAppended);
    } finally {
      await log.close();
    }
  });
});

describe('an append that the log writes', () => {
  let server: Server;
  let log: HttpLog;
  let isRefusing: boolean;
  /** The copies of the refusals of each connection. */
  const copies = new WeakMap<Socket, string>();
  const startLog = async (status: number) => {
    isRefusing = true;
    server = createServer((request, response) => {
      const { socket } = request;
      request.resume().on('end', () => {
        socket.write(copies.get(socket) ?? '');
        if (isRefusing) {
          copies.set(socket, `HTTP/1.1 ${status} Again\r\ncontent-length: 0\r\n\r\n`);
        }
        response.writeHead(isRefusing ? status : 200).end();
        isRefusing = false;
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    log = new HttpLog(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  };
  afterEach(async () => {
    await log.close();
    server.closeAllConnections();
    server.close();
  });
  const append = async () => {
    // The client counts its connection as in use until then.
    await nextTurn();
    return log.append('claims', ['one']);
  };

  test.each([429, 503])(
    'is not reported as refused by the copy of an earlier %i to an append',
    async (status) => {
      await startLog(status);
      expect(await append()).toBe(AppendResult.NotAppended);
      expect(await append()).toBe(AppendResult.Appended);
    },
  );

  test.each([429, 503])(
    'is not reported as refused by the copy of an earlier %i to a read',
    async (status) => {
      await startLog(status);
      expect((await log.read('claims', 0, 0)).isNothing()).toBe(true);
      expect(await append()).toBe(AppendResult.Appended);
    },
  );
});
