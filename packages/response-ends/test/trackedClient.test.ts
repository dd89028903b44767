/** A status that no answer can have ends its exchange as one without an answer, and its connection carries nothing more. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { request } from 'undici';
import ConnectionUse from '../src/ConnectionUse';
import createTrackedAgent from '../src/createTrackedAgent';
import startStatusServer from './support/startStatusServer';

describe('an answer to a tracked client', () => {
  const agent = createTrackedAgent({ connections: null, connectTimeoutMs: 500 });
  let server: Awaited<ReturnType<typeof startStatusServer>>;
  beforeEach(async () => {
    server = await startStatusServer('{}');
  });
  afterEach(() => server.close());
  afterAll(() => agent.destroy());

  const ask = async (status: string) => {
    // The client counts its connection as in use until then.
    await nextTurn();
    server.state.status = status;
    const connectionUse = new ConnectionUse();
    const options = { connectionUse, dispatcher: agent };
    try {
      const { statusCode, body } = await request(server.url, options);
      await body.dump();
      return { statusCode, connectionUse };
    } catch (error) {
      return { code: (error as NodeJS.ErrnoException).code, connectionUse };
    }
  };

  test.each(['101', '600', '601', '700', '999'])('is none: %s', async (status) => {
    const { statusCode, code, connectionUse } = await ask(status);
    expect([statusCode, code]).toEqual([undefined, `ERR_STATUS_${status}`]);
    expect([connectionUse.mayHaveSent, connectionUse.hasEndedInOrder]).toEqual([true, false]);
    expect(await ask('200')).toMatchObject({ statusCode: 200 });
    expect(server.used[1]).not.toBe(server.used[0]);
  });

  test.each(['200', '299', '300', '404', '499', '500', '599'])('is one: %s', async (status) => {
    expect(await ask(status)).toMatchObject({ statusCode: Number(status) });
    expect(await ask('200')).toMatchObject({ statusCode: 200 });
    expect(server.used).toEqual([0, 0]);
  });
});
