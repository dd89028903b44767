/**
 * Guards that instances reach each other again soon after the connection between them has gone silent: budgets and slots
 * of the other one were out of reach for 7 s (issue 74).
 */
import { systemClock } from '@wisteriapath/model';
import LinkProxy from '@wisteriapath/platform/test/soak/LinkProxy';
import { type messages, PeerClients, PeerLink, RelayedStreams, startPeerServer } from '../src';

/** The stated time by which a change is in force everywhere. */
const BOUND_MS = 4_000;
const HEARTBEAT_INTERVAL_MS = 100;
const SETTLED_MS = 500;
const HOST = '127.0.0.1';

const waitUntil = async (isTrue: () => boolean, limitMs: number) => {
  const endMs = performance.now() + limitMs;
  while (!isTrue() && performance.now() < endMs) await systemClock.sleep(20);
};

test('a link whose connection has gone silent is whole again in time', async () => {
  const identity = { name: 'one', failureDomain: 'a', incarnation: '1' };
  const reply = { ...identity, newer: [], positions: [] };
  const unused = () => Promise.reject(new Error('not called'));
  const server = await startPeerServer(`${HOST}:0`, {
    hello: () => Promise.resolve(reply as unknown as messages.HelloReply),
    syncBudget: unused,
    acquire: unused,
    shareSuspects: unused,
  });
  const proxy = new LinkProxy(server.port);
  const peerAddress = await proxy.open();
  const clients = new PeerClients();
  const address = { name: 'two', failureDomain: 'b', peerAddress };
  const link = new PeerLink(
    address as ConstructorParameters<typeof PeerLink>[0],
    identity,
    clients,
    new RelayedStreams(),
    systemClock,
    HEARTBEAT_INTERVAL_MS,
  );
  try {
    link.start();
    await waitUntil(() => link.silentMs() < SETTLED_MS, BOUND_MS);
    await systemClock.sleep(SETTLED_MS);
    expect(proxy.silenceIdle(0)).toBe(1);
    const silencedMs = performance.now();
    await systemClock.sleep(2 * SETTLED_MS);
    await waitUntil(() => link.silentMs() < SETTLED_MS, 4 * BOUND_MS);
    expect(performance.now() - silencedMs).toBeLessThan(BOUND_MS);
  } finally {
    link.stop();
    clients.close();
    proxy.close();
    server.close();
  }
});
