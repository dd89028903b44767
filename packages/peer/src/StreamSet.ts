import type { StreamReplica } from '@wisteriapath/log-client';
import type { StreamPosition, StreamRecords } from './generated/peer';

const NEVER_FRESH_MS = -1;
const MAX_RELAYED = 256;

/** The stream replicas of an instance that peers help to keep up to date. */
class StreamSet {
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
        ageMs: Number.isFinite(ageMs) ? ageMs : NEVER_FRESH_MS,
      };
    });
  }

  /** What a peer at the given positions does not have yet. */
  newerThan(positions: readonly StreamPosition[]): StreamRecords[] {
    return positions.flatMap(({ stream, nextOffset }) => {
      const replica = this.replicas.get(stream);
      const records = replica?.relay(nextOffset).slice(0, MAX_RELAYED) ?? [];
      const snapshot = replica?.snapshotFor(nextOffset);
      const isNothing = records.length === 0 && snapshot === undefined;
      return isNothing ? [] : [{ stream, records, snapshot }];
    });
  }

  /** Takes in what a peer passed on; `tripMs` is the time that the exchange took. */
  absorb(
    newer: readonly StreamRecords[],
    positions: readonly StreamPosition[],
    tripMs: number,
  ): void {
    newer.forEach(({ stream, records, snapshot }) => {
      const replica = this.replicas.get(stream);
      if (snapshot !== undefined) replica?.adopt(snapshot);
      replica?.ingest(records);
    });
    positions.forEach(({ stream, nextOffset, ageMs }) => {
      const replica = this.replicas.get(stream);
      const current = replica !== undefined && replica.nextOffset >= nextOffset;
      if (current && ageMs !== NEVER_FRESH_MS) replica.confirmFresh(ageMs + tripMs);
    });
  }
}

export default StreamSet;
