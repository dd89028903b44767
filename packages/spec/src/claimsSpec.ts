import type { Envelope } from '@wisteriapath/log-client';
import {
  ClaimPhase,
  ClaimRecordKind,
  type ClaimsState,
  createClaimsFold,
} from '@wisteriapath/routing';
import type Spec from './Spec';
import type Step from './Step';
import foldAll from './foldAll';

/** Rules of the claims protocol that can be removed. */
type ClaimsRule = 'first_claim_wins' | 'undo_before_giving_up' | 'read_own_claim' | 'no_takeover';

/** Where a holder is with its claim. */
type Phase = 'idle' | 'claiming' | 'undoing' | 'won' | 'sent' | 'refused_not_run' | 'lost';

interface State {
  readonly log: readonly Envelope[];
  /** Appends that may still arrive; each may also arrive twice. */
  readonly underWay: readonly Envelope[];
  readonly holders: readonly Phase[];
  readonly runs: number;
}

const KEY = 'key';
const MAX_LOG = 6;
const fold = createClaimsFold(1);

const claimId = (holder: number): string => `claim-${holder}`;

const record = (kind: ClaimRecordKind, holder: number): Envelope => {
  const id = kind === ClaimRecordKind.Claim ? claimId(holder) : `${claimId(holder)}/${kind}`;
  return { id, body: { kind, key: KEY, claimId: claimId(holder), bodySha256: '' } };
};

const withPhase = (state: State, holder: number, phase: Phase): State => ({
  ...state,
  holders: state.holders.map((other, index) => (index === holder ? phase : other)),
});

const send = (state: State, envelope: Envelope): State => ({
  ...state,
  underWay: [...state.underWay, envelope],
});

/**
 * Two holders claim one key: appends arrive late, twice or never, holders pause at any point.
 *
 * @example
 * explore(claimsSpec(['first_claim_wins']), 200_000).counterexample;
 */
const claimsSpec = (removed: readonly ClaimsRule[]): Spec<State> => {
  const has = (rule: ClaimsRule): boolean => !removed.includes(rule);

  const read = (state: State): ClaimsState => foldAll(fold, state.log, true).state;

  const wins = (state: State, holder: number): boolean => {
    const isInLog = state.log.some((envelope) => envelope.id === claimId(holder));
    const entry = read(state).get(KEY);
    if (!has('first_claim_wins')) return isInLog;
    if (!has('read_own_claim')) return true;
    return entry?.claimId === claimId(holder) && entry.phase === ClaimPhase.Claimed;
  };

  const isUndone = (state: State, holder: number): boolean =>
    read(state).get(KEY)?.voided.includes(claimId(holder)) === true;

  const arrivals = (state: State): Step<State>[] => {
    if (state.log.length >= MAX_LOG) return [];
    return state.underWay.flatMap((envelope, position) => {
      const log = [...state.log, envelope];
      const rest = state.underWay.filter((_other, index) => index !== position);
      const isRepeat = state.log.some(({ id }) => id === envelope.id);
      const once = { name: `${envelope.id} arrives`, next: { ...state, log, underWay: rest } };
      const again = { name: `${envelope.id} arrives and may again`, next: { ...state, log } };
      return isRepeat ? [once] : [once, again];
    });
  };

  const claiming = (state: State, holder: number): Step<State>[] => {
    const steps: Step<State>[] = [];
    if (wins(state, holder)) {
      steps.push({ name: `${holder} wins`, next: withPhase(state, holder, 'won') });
    }
    const entry = read(state).get(KEY);
    const isOthers = entry !== undefined && entry.claimId !== claimId(holder);
    if (isOthers && entry.phase === ClaimPhase.Claimed) {
      const next = has('no_takeover') ? 'lost' : 'won';
      steps.push({ name: `${holder} sees an earlier claim`, next: withPhase(state, holder, next) });
    }
    const undoing = send(
      withPhase(state, holder, 'undoing'),
      record(ClaimRecordKind.Release, holder),
    );
    const givenUp = withPhase(state, holder, 'refused_not_run');
    const next = has('undo_before_giving_up') ? undoing : givenUp;
    steps.push({ name: `${holder} gives its claim up`, next });
    return steps;
  };

  const holderSteps: Readonly<
    Record<Phase, (state: State, holder: number) => readonly Step<State>[]>
  > = {
    idle: (state, holder) => {
      const next = send(
        withPhase(state, holder, 'claiming'),
        record(ClaimRecordKind.Claim, holder),
      );
      return [{ name: `${holder} appends a claim`, next }];
    },
    claiming,
    undoing: (state, holder) => {
      if (!isUndone(state, holder)) return [];
      const next = withPhase(state, holder, 'refused_not_run');
      return [{ name: `${holder} refuses as not run`, next }];
    },
    won: (state, holder) => {
      const sent = { ...withPhase(state, holder, 'sent'), runs: state.runs + 1 };
      const release = record(ClaimRecordKind.Release, holder);
      const late = send(withPhase(state, holder, 'undoing'), release);
      return [
        { name: `${holder} dispatches`, next: sent },
        { name: `${holder} finds the deadline passed`, next: late },
      ];
    },
    sent: () => [],
    refused_not_run: () => [],
    lost: () => [],
  };

  /** True if nothing can arrive any more and no holder will do anything. */
  const isSettled = (state: State): boolean =>
    state.underWay.length === 0 &&
    state.holders.every((phase) => phase === 'refused_not_run' || phase === 'idle');

  return {
    name: 'claims',
    initial: { log: [], underWay: [], holders: ['idle', 'idle'], runs: 0 },
    steps: (state) => [
      ...arrivals(state),
      ...state.holders.flatMap((phase, holder) => holderSteps[phase](state, holder)),
    ],
    broken: (state) => {
      if (state.runs > 1) return 'a call runs at most once';
      const isHeld = read(state).get(KEY)?.phase === ClaimPhase.Claimed;
      if (isSettled(state) && isHeld) return 'after a true "not run", a repeat can win';
      return undefined;
    },
  };
};

export default claimsSpec;
