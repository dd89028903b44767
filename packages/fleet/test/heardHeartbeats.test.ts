/** Which heartbeats of its own a lease holder takes for heard. */
import { createSocket } from 'node:dgram';
import { encode } from '@msgpack/msgpack';
import { systemClock } from '@wisteriapath/model';
import { PeerMessageKind } from '../src';
import loopbackPeers from './support/loopbackPeers';

const { HEARTBEAT_INTERVAL_MS, MEMBERS, freePort, heartbeatOf, startPeers } = loopbackPeers;

// Guards that a holder that was restarted does not count on acknowledgements of its former life: it gave orders beside its
// successor (review/6, ONE).
test.each([
  ['its former life', ['a0', 5, '0'], false],
  ['an earlier build, which does not say of which life', ['a0', 5], false],
  ['this life', ['a0', 5, '1'], true],
])('an acknowledgement of a heartbeat of %s', async (_, holderHeard, isContact) => {
  const port = await freePort();
  const [self, peer] = MEMBERS;
  const peers = await startPeers(self, port);
  const socket = createSocket('udp4');
  try {
    const heartbeat = { ...heartbeatOf(peer, 1), holderHeard };
    socket.send(encode([1, PeerMessageKind.Heartbeat, heartbeat]), port, self.host);
    // Until it has sent a heartbeat with that number.
    await systemClock.sleep(10 * HEARTBEAT_INTERVAL_MS);
    expect(peers.lastContact !== undefined).toBe(isContact);
  } finally {
    socket.close();
    peers.stop();
  }
});
