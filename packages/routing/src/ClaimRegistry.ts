import { setMaxListeners } from 'node:events';
import {
  appendUntilSettled,
  encodeEnvelope,
  type LogPort,
  type RecordIds,
  OutcomeKind,
  type StreamReplica,
} from '@wisteriapath/log-client';
import { type Clock, Deadline, ErrorKind, ServeError } from '@wisteriapath/model';
import type ClaimEntry from './ClaimEntry';
import type ClaimOutcome from './ClaimOutcome';
import ClaimPhase from './ClaimPhase';
import ClaimRecordKind from './ClaimRecordKind';
import type ClaimResult from './ClaimResult';
import type ClaimsState from './ClaimsState';

interface Parts {
  readonly log: LogPort;
  readonly clock: Clock;
  readonly ids: RecordIds;
  /** The claims streams: one replica per shard, selected by the hash of the key. */
  readonly shards: readonly StreamReplica<ClaimsState>[];
}

const BACKGROUND_APPEND_TIMEOUT_MS = 5_000;
const BACKGROUND_RETRY_DELAY_MS = 200;
const HEX_BASE = 16;
const SHARD_HASH_CHARS = 8;

const refused = (error: ServeError): ClaimResult => ({ kind: 'refused', error });

const unavailable = (): ServeError => {
  const message = 'the log cannot be reached; it is required to run the call at most once';
  return ServeError.notExecuted(ErrorKind.LogUnavailable, message);
};

/** Waits for the result of an earlier claim. Resolves to undefined if it was released meanwhile. */
const awaitEarlierClaim = async (
  replica: StreamReplica<ClaimsState>,
  key: string,
  entry: ClaimEntry,
  bodySha256: string,
  deadline: Deadline,
): Promise<ClaimResult | undefined> => {
  if (entry.bodySha256 !== bodySha256) {
    const message = 'the idempotency key was used for another request';
    return refused(ServeError.notExecuted(ErrorKind.KeyReused, message));
  }
  const isOpen = () => replica.state.get(key)?.phase === ClaimPhase.Claimed;
  await replica.waitUntil(() => !isOpen(), deadline);
  const latest = replica.state.get(key);
  if (latest?.phase === ClaimPhase.Done && latest.outcome !== null) {
    return { kind: 'ran', outcome: latest.outcome };
  }
  if (!isOpen()) return undefined;
  const message = 'an earlier request with this idempotency key has not ended; it may have run';
  return refused(ServeError.maybeExecuted(ErrorKind.ClaimInProgress, message));
};

/** Claims idempotency keys in the log, so that calls of non-idempotent routes run at most once. */
class ClaimRegistry {
  private readonly pendingAppends = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(private readonly parts: Parts) {
    // Every pending append listens on this signal, so the number of listeners has no limit.
    setMaxListeners(0, this.stopping.signal);
  }

  /**
   * Claims a key (a SHA-256 in hexadecimal) for a request with the given body. Waits up to the
   * deadline for the outcome of an earlier claim.
   */
  async claim(key: string, bodySha256: string, deadline: Deadline): Promise<ClaimResult> {
    const replica = this.replicaOf(key);
    for (;;) {
      if (!replica.isCaughtUp) return refused(unavailable());
      const entry = replica.state.get(key);
      if (entry !== undefined && entry.phase !== ClaimPhase.Released) {
        const earlier = await awaitEarlierClaim(replica, key, entry, bodySha256, deadline);
        if (earlier !== undefined) return earlier;
      } else {
        const claimed = await this.appendClaim(replica, key, bodySha256, deadline);
        if (claimed !== undefined) return claimed;
      }
    }
  }

  /**
   * Releases a won claim when nothing was sent, so that repeated calls do not wait for it. Resolves
   * to false if the deadline passes before the release is in the log.
   */
  async release(key: string, claimId: string, deadline: Deadline): Promise<boolean> {
    const body = { kind: ClaimRecordKind.Release, key, claimId };
    const settled = this.appendInBackground(key, `${claimId}/release`, body);
    return this.completesBefore(settled, deadline);
  }

  /** Records the outcome of the call for which a claim was won. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): void {
    const body = { kind: ClaimRecordKind.Outcome, key, claimId, outcome };
    void this.appendInBackground(key, `${claimId}/outcome`, body);
  }

  /** Waits up to the deadline for releases and outcomes that are not in the log yet, then stops. */
  async close(deadline: Deadline): Promise<void> {
    await this.completesBefore(Promise.all(this.pendingAppends), deadline);
    this.stopping.abort();
  }

  private replicaOf(key: string): StreamReplica<ClaimsState> {
    const { shards } = this.parts;
    return shards[parseInt(key.slice(0, SHARD_HASH_CHARS), HEX_BASE) % shards.length];
  }

  /** Appends a claim. Resolves to undefined if another claim came first. */
  private async appendClaim(
    replica: StreamReplica<ClaimsState>,
    key: string,
    bodySha256: string,
    deadline: Deadline,
  ): Promise<ClaimResult | undefined> {
    const { log, clock, ids } = this.parts;
    const claimId = ids.next();
    const body = { kind: ClaimRecordKind.Claim, key, claimId, bodySha256 };
    const createRelease = () => ({
      id: `${claimId}/release`,
      body: { kind: ClaimRecordKind.Release, key, claimId },
    });
    const tools = { log, clock };
    const settled = await appendUntilSettled(
      tools,
      replica,
      claimId,
      body,
      deadline,
      createRelease,
    );
    if (settled.kind === OutcomeKind.Accepted) return { kind: 'won', claimId };
    if (settled.kind === OutcomeKind.Rejected) return undefined;
    if (settled.kind === OutcomeKind.Unknown) {
      const release = createRelease();
      void this.appendInBackground(key, release.id, release.body);
    }
    return refused(unavailable());
  }

  private appendInBackground(key: string, id: string, body: object): Promise<void> {
    const task = this.appendUntilFolded(this.replicaOf(key), id, body).finally(() => {
      this.pendingAppends.delete(task);
    });
    this.pendingAppends.add(task);
    return task;
  }

  private async appendUntilFolded(
    replica: StreamReplica<ClaimsState>,
    id: string,
    body: object,
  ): Promise<void> {
    const { log, clock } = this.parts;
    const isFolded = () => replica.verdict(id) !== undefined;
    const payload = encodeEnvelope({ id, body });
    const { signal } = this.stopping;
    while (!isFolded() && !signal.aborted) {
      await log.append(replica.stream, [payload]);
      await replica.waitUntil(isFolded, Deadline.after(clock, BACKGROUND_APPEND_TIMEOUT_MS));
      if (!isFolded()) await clock.sleep(BACKGROUND_RETRY_DELAY_MS, signal);
    }
  }

  private async completesBefore(work: Promise<unknown>, deadline: Deadline): Promise<boolean> {
    const settled = new AbortController();
    const timeout = this.parts.clock.sleep(deadline.remainingMs(), settled.signal);
    const isDone = await Promise.race([work.then(() => true), timeout.then(() => false)]);
    settled.abort();
    return isDone;
  }
}

export default ClaimRegistry;
