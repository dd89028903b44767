import { OrderedMap } from 'immutable';
import type { Fold, FoldStep, LogRecord } from '@wisteriapath/log-client';
import type ClaimEntry from './ClaimEntry';
import type ClaimOutcome from './ClaimOutcome';
import ClaimPhase from './ClaimPhase';
import ClaimRecordKind from './ClaimRecordKind';
import type ClaimsState from './ClaimsState';

interface ClaimRecord {
  readonly kind: ClaimRecordKind;
  readonly key: string;
  readonly claimId: string;
  readonly bodySha256?: string;
  readonly outcome?: ClaimOutcome;
}

type Handler = (
  entry: ClaimEntry | undefined,
  record: ClaimRecord,
  atMs: number,
) => ClaimEntry | undefined;

const claim: Handler = (entry, { claimId, bodySha256 = '' }, atMs) => {
  const claimed = { phase: ClaimPhase.Claimed, claimId, bodySha256, outcome: null };
  if (entry === undefined) return { ...claimed, voided: [], atMs };
  const isFree = entry.phase === ClaimPhase.Released && !entry.voided.includes(claimId);
  return isFree ? { ...entry, ...claimed } : undefined;
};

const release: Handler = (entry, { claimId }, atMs) => {
  if (entry === undefined) {
    const phase = ClaimPhase.Released;
    return { phase, claimId: '', bodySha256: '', voided: [claimId], outcome: null, atMs };
  }
  if (entry.voided.includes(claimId)) return undefined;
  if (entry.claimId === claimId && entry.phase !== ClaimPhase.Claimed) return undefined;
  const voided = [...entry.voided, claimId];
  return entry.claimId === claimId
    ? { ...entry, phase: ClaimPhase.Released, voided }
    : { ...entry, voided };
};

const complete: Handler = (entry, { claimId, outcome }) => {
  if (entry?.claimId !== claimId || entry.phase !== ClaimPhase.Claimed) return undefined;
  return { ...entry, phase: ClaimPhase.Done, outcome: outcome ?? null };
};

const HANDLERS: Readonly<Record<ClaimRecordKind, Handler>> = {
  [ClaimRecordKind.Claim]: claim,
  [ClaimRecordKind.Release]: release,
  [ClaimRecordKind.Outcome]: complete,
};

const isRecord = (body: unknown): body is ClaimRecord => {
  const record = body as Partial<ClaimRecord> | null | undefined;
  return (
    typeof record?.key === 'string' &&
    typeof record.claimId === 'string' &&
    Object.values<unknown>(ClaimRecordKind).includes(record.kind)
  );
};

/** Removes claims that are older than the window, measured by the log's time. */
const prune = (state: ClaimsState, record: LogRecord, windowMs: number): ClaimsState => {
  let pruned = state;
  for (;;) {
    const oldest = pruned.entrySeq().first();
    if (oldest === undefined || oldest[1].atMs >= record.atMs - windowMs) return pruned;
    pruned = pruned.delete(oldest[0]);
  }
};

/**
 * Creates the fold of a claims stream. The first claim of a key wins, and is kept for the window.
 *
 * @example
 * const fold = createClaimsFold(86_400_000);
 */
const createClaimsFold = (windowMs: number): Fold<ClaimsState> => ({
  initial: OrderedMap(),
  apply: (state, body, record): FoldStep<ClaimsState> => {
    const kept = prune(state, record, windowMs);
    if (!isRecord(body)) return { state: kept, accepted: false };
    const next = HANDLERS[body.kind](kept.get(body.key), body, record.atMs);
    if (next === undefined) return { state: kept, accepted: false };
    return { state: kept.set(body.key, next), accepted: true };
  },
});

export default createClaimsFold;
