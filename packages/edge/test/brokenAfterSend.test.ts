/** An error code is no proof that no byte was sent: a connection that carries a request can end with the codes of a failed connect. */
import connectCodes from '@wisteriapath/response-ends/test/support/connectCodes';
import startLostServer from '@wisteriapath/response-ends/test/support/startLostServer';
import ExchangeEnd from '../src/ExchangeEnd';
import TargetConnections from '../src/TargetConnections';

describe('an exchange whose connection ends with the code of a failed connect', () => {
  const connections = new TargetConnections();
  afterAll(() => connections.close());

  const book = (port: number) =>
    connections.send(
      {
        address: `127.0.0.1:${port}`,
        method: 'POST',
        path: '/book/1',
        headers: [],
        body: Buffer.from('{}'),
        exchangeId: 'one',
        maySend: () => true,
      },
      { onHeaders: () => true, onData: () => true },
    );

  test.each(connectCodes)('does not count as not sent after its request: %s', async (code) => {
    const target = await startLostServer(code);
    try {
      const exchange = book(target.port);
      expect(await exchange.ended).toBe(ExchangeEnd.Broken);
      expect(target.received).toEqual(['/book/1']);
      expect(exchange).toMatchObject({ errorCode: code, mayHaveSent: true });
    } finally {
      target.close();
    }
  });

  test('counts as not sent if no connection could be opened', async () => {
    const target = await startLostServer('');
    target.close();
    const exchange = book(target.port);
    expect(await exchange.ended).toBe(ExchangeEnd.NotSent);
    expect(exchange).toMatchObject({ errorCode: 'ECONNREFUSED', mayHaveSent: false });
  });
});
