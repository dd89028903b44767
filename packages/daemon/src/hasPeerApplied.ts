import type { PeerMesh } from '@wisteriapath/peer';

/**
 * Returns whether a peer process has reported in a heartbeat that it applied the records of a stream
 * up to and including an offset.
 *
 * @example
 * hasPeerApplied(peerMesh, 'roles', incarnation, tenure.sinceOffset);
 */
const hasPeerApplied = (
  peerMesh: PeerMesh,
  stream: string,
  incarnation: string,
  offset: number,
): boolean =>
  peerMesh.linked
    .map((link) => link.reply)
    .filter((reply) => reply?.incarnation === incarnation)
    .flatMap((reply) => reply!.positions)
    .some((position) => position.stream === stream && position.nextOffset > offset);

export default hasPeerApplied;
