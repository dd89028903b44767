/** An answer whose status none can have is believed by no sender of the own protocol, and its connection carries nothing more. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { AppendResult, HttpLog } from '@wisteriapath/log-client';
import { HttpInstanceList } from '@wisteriapath/peer';
import { HttpTargetControl, OrderKind, OrderResult } from '@wisteriapath/placement';
import startStatusServer from '@wisteriapath/response-ends/test/support/startStatusServer';
import { TargetClient } from '@wisteriapath/routing';

interface Sender {
  readonly send: () => Promise<unknown>;
  readonly close: () => Promise<unknown>;
}

type Create = (url: string) => Sender;

const NOTHING = 'Nothing';
const ORDER = { kind: OrderKind.Load, assetId: 'm', sizeMb: 1, fencing: 1, sequence: 1 };
/** A body that each of them could read. */
const BODY = JSON.stringify({ instances: [], records: [], endOffset: 0, firstOffset: 0 });

const log =
  (send: (client: HttpLog) => Promise<unknown>): Create =>
  (url) => {
    const client = new HttpLog(url);
    return { send: () => send(client), close: () => client.close() };
  };

const control =
  (send: (client: HttpTargetControl, url: string) => Promise<unknown>): Create =>
  (url) => {
    const client = new HttpTargetControl();
    return { send: () => send(client, url), close: () => client.close() };
  };

const SENDERS: Readonly<Record<string, readonly [Create, unknown]>> = {
  'an append to the log': [log((client) => client.append('claims', ['one'])), AppendResult.Unknown],
  'a read of the log': [
    log(async (client) => (await client.read('claims', 0, 0)).toString()),
    NOTHING,
  ],
  'a load report': [control(async (client, url) => (await client.report(url)).toString()), NOTHING],
  'an order': [control((client, url) => client.order(url, ORDER)), OrderResult.Unknown],
  'the list of instances': [
    (url) => {
      const client = new HttpInstanceList(url);
      return {
        send: async () => (await client.list()).toString(),
        close: () => client.close(),
      };
    },
    NOTHING,
  ],
  'a call of a target': [
    (url) => {
      const client = new TargetClient({ silenceLimitMs: 5_000 });
      const { signal } = new AbortController();
      const call = { method: 'POST', path: '/', headers: {}, body: '{}', attemptId: 'a', signal };
      return {
        send: async () => {
          const result = await client.send(url, call);
          result.ifRight(({ data }) => data.body.on('error', () => {}).destroy());
          return result.caseOf<unknown>({ Left: String, Right: () => 'an answer' });
        },
        close: () => client.close(),
      };
    },
    'failed',
  ],
};

describe.each(Object.entries(SENDERS))('%s', (_, [create, none]) => {
  test.each(['600', '700', '999'])('is not answered by %s', async (status) => {
    const server = await startStatusServer(BODY);
    server.state.status = status;
    const sender = create(server.url);
    try {
      expect(await sender.send()).toBe(none);
      // The client counts its connection as in use until then.
      await nextTurn();
      server.state.status = '200';
      expect(await sender.send()).not.toBe(none);
      expect(server.used[1]).not.toBe(server.used[0]);
    } finally {
      await sender.close();
      server.close();
    }
  });
});
