import { setMaxListeners } from 'node:events';
import {
  appendUntilSettled,
  encodeEnvelope,
  type LogPort,
  type RecordIds,
  SettlementKind,
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
  /** One replica for each shard. */
  readonly shards: readonly StreamReplica<ClaimsState>[];
}

const BACKGROUND_ATTEMPT_MS = 5_000;
const BACKGROUND_PAUSE_MS = 200;
const HEX_BASE = 16;
const SHARD_HASH_CHARS = 8;

const refused = (error: ServeError): ClaimResult => ({ kind: 'refused', error });

const unavailable = (): ServeError => {
  const message = 'the log cannot be reached, and the call may run only once';
  return ServeError.notRun(ErrorKind.LogUnavailable, message);
};

/** The answer that an earlier claim leads to; undefined if it was released meanwhile. */
const awaitEarlier = async (
  replica: StreamReplica<ClaimsState>,
  key: string,
  entry: ClaimEntry,
  bodySha256: string,
  deadline: Deadline,
): Promise<ClaimResult | undefined> => {
  if (entry.bodySha256 !== bodySha256) {
    const message = 'the idempotency key was used for another request';
    return refused(ServeError.notRun(ErrorKind.KeyReused, message));
  }
  const isOpen = () => replica.state.get(key)?.phase === ClaimPhase.Claimed;
  await replica.waitUntil(() => !isOpen(), deadline);
  const latest = replica.state.get(key);
  if (latest?.phase === ClaimPhase.Done && latest.outcome !== null) {
    return { kind: 'ran', outcome: latest.outcome };
  }
  if (!isOpen()) return undefined;
  const message = 'an earlier request with this key has not ended; it may have run';
  return refused(ServeError.maybeRun(ErrorKind.ClaimInProgress, message));
};

/** Claims idempotency keys in the log, so that a call of a non-idempotent route runs at most once. */
class ClaimRegistry {
  private readonly unfinished = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(private readonly parts: Parts) {
    // Every unfinished append waits on it.
    setMaxListeners(0, this.stopping.signal);
  }

  /**
   * Claims a key (a SHA-256 in hexadecimal) for a request with the given body. Waits for an earlier
   * claim's outcome up to the deadline.
   */
  async claim(key: string, bodySha256: string, deadline: Deadline): Promise<ClaimResult> {
    const replica = this.replicaOf(key);
    for (;;) {
      if (!replica.caughtUp) return refused(unavailable());
      const entry = replica.state.get(key);
      if (entry !== undefined && entry.phase !== ClaimPhase.Released) {
        const earlier = await awaitEarlier(replica, key, entry, bodySha256, deadline);
        if (earlier !== undefined) return earlier;
      } else {
        const claimed = await this.append(replica, key, bodySha256, deadline);
        if (claimed !== undefined) return claimed;
      }
    }
  }

  /** Gives a won claim back: nothing was sent. True once no repeat can be held up by it. */
  async release(key: string, claimId: string, deadline: Deadline): Promise<boolean> {
    const body = { kind: ClaimRecordKind.Release, key, claimId };
    const settled = this.settleInBackground(key, `${claimId}/release`, body);
    return this.inTime(settled, deadline);
  }

  /** Records the outcome of a won claim's call. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): void {
    const body = { kind: ClaimRecordKind.Outcome, key, claimId, outcome };
    void this.settleInBackground(key, `${claimId}/outcome`, body);
  }

  /** Waits for releases and outcomes that are not in the log yet, up to the deadline. */
  async close(deadline: Deadline): Promise<void> {
    await this.inTime(Promise.all(this.unfinished), deadline);
    this.stopping.abort();
  }

  private replicaOf(key: string): StreamReplica<ClaimsState> {
    const { shards } = this.parts;
    return shards[parseInt(key.slice(0, SHARD_HASH_CHARS), HEX_BASE) % shards.length];
  }

  /** Appends a claim; undefined if another one came first. */
  private async append(
    replica: StreamReplica<ClaimsState>,
    key: string,
    bodySha256: string,
    deadline: Deadline,
  ): Promise<ClaimResult | undefined> {
    const { log, clock, ids } = this.parts;
    const claimId = ids.next();
    const body = { kind: ClaimRecordKind.Claim, key, claimId, bodySha256 };
    const undoOf = () => ({
      id: `${claimId}/release`,
      body: { kind: ClaimRecordKind.Release, key, claimId },
    });
    const tools = { log, clock };
    const settled = await appendUntilSettled(tools, replica, claimId, body, deadline, undoOf);
    if (settled.kind === SettlementKind.Accepted) return { kind: 'won', claimId };
    if (settled.kind === SettlementKind.Rejected) return undefined;
    if (settled.kind === SettlementKind.Unknown) {
      const undo = undoOf();
      void this.settleInBackground(key, undo.id, undo.body);
    }
    return refused(unavailable());
  }

  private settleInBackground(key: string, id: string, body: object): Promise<void> {
    const task = this.appendUntilFolded(this.replicaOf(key), id, body).finally(() => {
      this.unfinished.delete(task);
    });
    this.unfinished.add(task);
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
      await replica.waitUntil(isFolded, Deadline.after(clock, BACKGROUND_ATTEMPT_MS));
      if (!isFolded()) await clock.sleep(BACKGROUND_PAUSE_MS, signal);
    }
  }

  private async inTime(work: Promise<unknown>, deadline: Deadline): Promise<boolean> {
    const settled = new AbortController();
    const timeout = this.parts.clock.sleep(deadline.remainingMs(), settled.signal);
    const isDone = await Promise.race([work.then(() => true), timeout.then(() => false)]);
    settled.abort();
    return isDone;
  }
}

export default ClaimRegistry;
