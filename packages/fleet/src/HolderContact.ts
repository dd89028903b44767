import type { Clock } from '@wisteriapath/model';
import type MemberRecord from './MemberRecord';
import type Moment from './Moment';

interface Peer {
  readonly member: MemberRecord;
  readonly lastHeartbeatMs: number;
  readonly lastHeartbeatWallMs: number;
  readonly isStopping: boolean;
  readonly ackedNumber: number;
}

/** A heartbeat of this instance, with the time at which it was sent. */
interface SentHeartbeat extends Moment {
  readonly number: number;
}

/** Time without a sign of others in its failure domain after which an instance counts as the only one there. */
const ALONE_AFTER_MS = 120_000;

/**
 * Tells when no other instance can have begun to take over the lease of this one. Only instances of its failure domain may, and
 * none does while it receives heartbeats of the holder. The only instance of a failure domain counts on its contact with the
 * others: one that starts there anew is heard, or hears the holder, before it takes anything over.
 */
class HolderContact {
  /** When another instance of the failure domain last sent a heartbeat or was learned of, on the monotonic clock. */
  private domainPeerSeenMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly failureDomain: string,
  ) {}

  /** Notes a sign of another instance. */
  notePeer({ failureDomain }: MemberRecord): void {
    if (failureDomain === this.failureDomain) this.domainPeerSeenMs = this.clock.nowMs();
  }

  /** Returns the newest such moment; undefined if there is none. `sent` is ordered by time. */
  newest(peers: readonly Peer[], sent: readonly SentHeartbeat[]): Moment | undefined {
    const heard = peers.filter(
      ({ lastHeartbeatMs, isStopping }) => lastHeartbeatMs !== -Infinity && !isStopping,
    );
    const domainPeers = heard.filter(({ member }) => member.failureDomain === this.failureDomain);
    if (domainPeers.length === 0) return this.isAlone ? HolderContact.withHalf(heard) : undefined;
    const oldest = Math.min(...domainPeers.map(({ ackedNumber }) => ackedNumber));
    return sent.find(({ number }) => number === oldest);
  }

  private get isAlone(): boolean {
    return this.clock.nowMs() - this.domainPeerSeenMs > ALONE_AFTER_MS;
  }

  /** Returns when half of the peers were last heard. */
  private static withHalf(heard: readonly Peer[]): Moment | undefined {
    const newestFirst = [...heard].sort(
      (one, other) => other.lastHeartbeatMs - one.lastHeartbeatMs,
    );
    const middle = newestFirst.at(Math.ceil(newestFirst.length / 2) - 1);
    return middle && { sentMs: middle.lastHeartbeatMs, sentWallMs: middle.lastHeartbeatWallMs };
  }
}

export default HolderContact;
