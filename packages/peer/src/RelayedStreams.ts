import type { StreamReplica } from '@wisteriapath/log-client';
import type { StreamPosition, StreamRecords } from './generated/peer';

const NEVER_FRESH_AGE_MS = -1;
const MAX_RELAYED_RECORDS = 256;

/** The stream replicas of an instance that peers help to keep up to date. */
class RelayedStreams {
  private readonly replicas = new Map<string, StreamReplica<unknown>>();

  add(replica: StreamReplica<unknown>): void {
    this.replicas.set(replica.stream, replica);
  }

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

  /** What a peer at the given positions does not have yet. */
  updatesAfter(positions: readonly StreamPosition[]): StreamRecords[] {
    return positions.flatMap(({ stream, nextOffset }) => {
      const replica = this.replicas.get(stream);
      const records = replica?.relay(nextOffset).slice(0, MAX_RELAYED_RECORDS) ?? [];
      const snapshot = replica?.snapshotFor(nextOffset);
      const isEmpty = records.length === 0 && snapshot === undefined;
      return isEmpty ? [] : [{ stream, records, snapshot }];
    });
  }

  /** Takes in what a peer passed on; `roundTripMs` is the time that the exchange took. */
  applyUpdates(
    newer: readonly StreamRecords[],
    positions: readonly StreamPosition[],
    roundTripMs: number,
  ): void {
    newer.forEach(({ stream, records, snapshot }) => {
      const replica = this.replicas.get(stream);
      if (snapshot !== undefined) replica?.adopt(snapshot);
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
