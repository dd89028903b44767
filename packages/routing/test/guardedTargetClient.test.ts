/** What counts as the crash of a target, of which the requests in flight there are suspected. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import GuardedTargetClient from '../src/GuardedTargetClient';
import PoisonRegistry from '../src/PoisonRegistry';
import PoisonStatus from '../src/PoisonStatus';
import TargetClient from '../src/TargetClient';
import parseChunk from '../src/parseChunk';

const TARGET = 'engine-1';

describe('requests beside one whose response failed', () => {
  let server: Server;
  let client: TargetClient;
  let registry: PoisonRegistry;
  beforeEach(async () => {
    server = createServer((_, response) => response.end('whole'));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    client = new TargetClient({ silenceLimitMs: 5_000 });
    registry = new PoisonRegistry(() => Promise.resolve());
  });
  afterEach(async () => {
    await client.close();
    server.close();
  });

  /** Lets one response fail, and returns the status on a request that was in flight beside it. */
  const statusBeside = async (error: unknown) => {
    registry.trackInflight(TARGET, 'neighbour');
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const { signal } = new AbortController();
    const call = { method: 'GET', path: '/', headers: {}, body: '', attemptId: 'a1', signal };
    const guarded = new GuardedTargetClient(client, registry);
    const sent = await guarded.send(TARGET, url, 'cause', call);
    const exchange = sent.unsafeCoerce();
    await exchange.response.data.body.dump();
    exchange.markBroken(error);
    return registry.statusOf('neighbour');
  };

  const errorOf = (data: string): unknown => {
    try {
      return parseChunk(data);
    } catch (error) {
      return error;
    }
  };

  test.each(['no json', 'null', '7'])(
    'an event that cannot be read (%s) is no crash',
    async (data) => {
      expect(await statusBeside(errorOf(data))).toBe(PoisonStatus.Clear);
    },
  );

  test('a connection that broke is one', async () => {
    expect(await statusBeside(new Error('terminated'))).toBe(PoisonStatus.Suspect);
  });
});
