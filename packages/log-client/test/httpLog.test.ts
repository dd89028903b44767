/** An append that the log may have written is not reported as not appended. */
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
