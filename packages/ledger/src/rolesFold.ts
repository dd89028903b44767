import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import type { Fold, FoldStep } from '@wisteriapath/log-client';
import type RoleHolder from './RoleHolder';
import RoleRecordKind from './RoleRecordKind';
import type RolesState from './RolesState';
import TakeoverReason from './TakeoverReason';
import type Tenure from './Tenure';

interface RoleRecord {
  readonly kind: RoleRecordKind;
  readonly role: string;
  readonly expectedEpoch: number;
  readonly holder: RoleHolder;
  readonly reason: TakeoverReason;
  readonly incarnation: string;
  readonly tenure?: Tenure;
}

type Handler = (state: RolesState, record: RoleRecord, offset: number) => RolesState | undefined;

const unprovedAfter = (
  previous: Tenure | undefined,
  reason: TakeoverReason,
): readonly RoleHolder[] => {
  if (previous === undefined) return [];
  const earlier = previous.unproved;
  return reason === TakeoverReason.Silent ? [...earlier, previous.holder] : earlier;
};

const canTake = (state: RolesState, previous: Tenure | undefined, record: RoleRecord): boolean => {
  if ((previous?.epoch ?? 0) !== record.expectedEpoch) return false;
  if (previous === undefined || previous.released) return true;
  if (record.reason === TakeoverReason.Vouched) {
    return state.vouchedDown.has(previous.holder.incarnation);
  }
  return record.reason === TakeoverReason.ProvedDead || record.reason === TakeoverReason.Silent;
};

const take: Handler = (state, record, offset) => {
  const previous = state.tenures.get(record.role);
  if (!canTake(state, previous, record)) return undefined;
  const tenure: Tenure = {
    epoch: offset + 1,
    holder: record.holder,
    reason: record.reason,
    released: false,
    sinceOffset: offset,
    unproved: unprovedAfter(previous, record.reason),
  };
  return { ...state, tenures: state.tenures.set(record.role, tenure) };
};

const release: Handler = (state, record) => {
  const previous = state.tenures.get(record.role);
  if (previous === undefined) return undefined;
  if (previous.epoch !== record.expectedEpoch || previous.released) return undefined;
  return { ...state, tenures: state.tenures.set(record.role, { ...previous, released: true }) };
};

const clear: Handler = (state, record) => {
  const previous = state.tenures.get(record.role);
  if (previous === undefined) return undefined;
  const unproved = previous.unproved.filter((other) => other.incarnation !== record.incarnation);
  if (unproved.length === previous.unproved.length) return undefined;
  return { ...state, tenures: state.tenures.set(record.role, { ...previous, unproved }) };
};

/** Restores a tenure whose earlier records have expired from the log. */
const renew: Handler = (state, { role, tenure }) => {
  const previous = state.tenures.get(role);
  if (tenure === undefined || (previous !== undefined && previous.epoch !== tenure.epoch)) {
    return undefined;
  }
  return previous === undefined ? { ...state, tenures: state.tenures.set(role, tenure) } : state;
};

const vouch: Handler = (state, record) => ({
  ...state,
  vouchedDown: state.vouchedDown.add(record.incarnation),
});

const HANDLERS: Readonly<Record<RoleRecordKind, Handler>> = {
  [RoleRecordKind.Take]: take,
  [RoleRecordKind.Release]: release,
  [RoleRecordKind.Clear]: clear,
  [RoleRecordKind.Renew]: renew,
  [RoleRecordKind.Vouch]: vouch,
};

const isRecord = (body: unknown): body is RoleRecord => {
  const record = body as Partial<RoleRecord> | null | undefined;
  if (record?.kind === RoleRecordKind.Vouch) return typeof record.incarnation === 'string';
  if (typeof record?.role !== 'string') return false;
  if (record.kind === RoleRecordKind.Clear) return typeof record.incarnation === 'string';
  if (record.kind === RoleRecordKind.Renew) return typeof record.tenure?.epoch === 'number';
  if (typeof record.expectedEpoch !== 'number') return false;
  if (record.kind === RoleRecordKind.Release) return true;
  return record.kind === RoleRecordKind.Take && typeof record.holder?.incarnation === 'string';
};

/** The fold of the roles stream. The first valid take of an epoch wins. */
const rolesFold: Fold<RolesState> = {
  initial: { tenures: ImmutableMap(), vouchedDown: ImmutableSet() },
  apply: (state, body, position): FoldStep<RolesState> => {
    const next = isRecord(body) ? HANDLERS[body.kind](state, body, position.offset) : undefined;
    return next === undefined ? { state, accepted: false } : { state: next, accepted: true };
  },
};

export default rolesFold;
