import { callPeer, type messages, type PeerClients, type PeerMesh } from '@wisteriapath/peer';

const CALL_TIMEOUT_MS = 1_000;

/**
 * Tells the linked peers of requests that may have crashed a target.
 *
 * @example
 * shareSuspects(mesh, peerClients, [{ fingerprint, crashedTargets: ['guide-a1'] }]);
 */
const shareSuspects = (
  mesh: PeerMesh,
  clients: PeerClients,
  suspicions: readonly {
    readonly fingerprint: string;
    readonly crashedTargets: readonly string[];
  }[],
): void => {
  if (suspicions.length === 0) return;
  const suspects: messages.Suspect[] = suspicions.map(({ fingerprint, crashedTargets }) => ({
    fingerprint,
    crashedTargets: [...crashedTargets],
  }));
  mesh.linked.forEach((link) => {
    const client = clients.get(link.address.peerAddress);
    void callPeer(client.shareSuspects.bind(client), { suspects }, CALL_TIMEOUT_MS);
  });
};

export default shareSuspects;
