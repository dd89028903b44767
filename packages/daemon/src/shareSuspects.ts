import { callPeer, type messages, type PeerClients, type PeerMesh } from '@wisteriapath/peer';

const CALL_TIMEOUT_MS = 1_000;

/**
 * Sends the linked peers the fingerprints of requests that may have crashed a target. Resolves when
 * each peer has answered or timed out.
 *
 * @example
 * shareSuspects(peerMesh, peerClients, [{ fingerprint, crashIds: ['guide-a1#7f'] }]);
 */
const shareSuspects = async (
  peerMesh: PeerMesh,
  clients: PeerClients,
  suspicions: readonly {
    readonly fingerprint: string;
    readonly crashIds: readonly string[];
  }[],
): Promise<void> => {
  if (suspicions.length === 0) return;
  const suspects: messages.Suspect[] = suspicions.map(({ fingerprint, crashIds }) => ({
    fingerprint,
    crashIds: [...crashIds],
  }));
  const calls = peerMesh.linked.map((link) => {
    const client = clients.get(link.address.peerAddress);
    return callPeer(client.shareSuspects.bind(client), { suspects }, CALL_TIMEOUT_MS);
  });
  await Promise.all(calls);
};

export default shareSuspects;
