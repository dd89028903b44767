import type { StreamReplica } from '@wisteriapath/log-client';
import type { StreamPosition, StreamRecords } from './generated/peer';

/** The age on the wire of a replica that never equalled the end of the log. */
const NEVER_FRESH_AGE_MS = -1;
/** Records of one stream that a heartbeat passes on at most. */
const MAX_RELAYED_RECORDS = 256;

/** The stream replicas of an instance that it and its peers keep up to date for each other. */
class RelayedStreams {
  private readonly replicas = new Map<string, StreamReplica<unknown>>();

  add(replica: StreamReplica<unknown>): void {
    this.replicas.set(replica.stream, replica);
  }

  /** Returns the position and the age of each replica. */
  positions(): StreamPosition[] {
    return [...this.replicas.values()].map((replica) => {
      const ageMs = replica.ageMs();
      return {
        stream: replica.stream,
        nextOffset: replica.nextOffset,
        ageMs: Number.isFinite(ageMs) ? ageMs : NEVER_FRESH_AGE_MS,
      };
    });
  }

  /** Returns the records that a peer at the given positions lacks, or a snapshot in their place. */
  updatesAfter(positions: readonly StreamPosition[]): StreamRecords[] {
    return positions.flatMap(({ stream, nextOffset }) => {
      const replica = this.replicas.get(stream);
      const records = replica?.recordsFrom(nextOffset).slice(0, MAX_RELAYED_RECORDS) ?? [];
      const snapshot = replica?.snapshotFor(nextOffset);
      const isEmpty = records.length === 0 && snapshot === undefined;
      return isEmpty ? [] : [{ stream, records, snapshot }];
    });
  }

  /**
   * Applies the records and snapshots that a peer passed on, and takes over its freshness where this
   * replica is as far. `roundTripMs`, the time that the exchange took, is added to the peer's ages.
   */
  applyUpdates(
    newer: readonly StreamRecords[],
    positions: readonly StreamPosition[],
    roundTripMs: number,
  ): void {
    newer.forEach(({ stream, records, snapshot }) => {
      const replica = this.replicas.get(stream);
      if (snapshot !== undefined) replica?.restoreFromSnapshot(snapshot);
      replica?.ingest(records);
    });
    positions.forEach(({ stream, nextOffset, ageMs }) => {
      const replica = this.replicas.get(stream);
      const isCurrent = replica !== undefined && replica.nextOffset >= nextOffset;
      if (isCurrent && ageMs !== NEVER_FRESH_AGE_MS) replica.confirmFresh(ageMs + roundTripMs);
    });
  }
}

export default RelayedStreams;
