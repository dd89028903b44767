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

/** A rule of the claims protocol that a mutation can remove. */
type ClaimsRule = 'first_claim_wins' | 'undo_before_giving_up' | 'read_own_claim' | 'no_takeover';

/** The progress of a holder with its claim. */
type HolderPhase = 'idle' | 'claiming' | 'undoing' | 'won' | 'sent' | 'refused_not_run' | 'lost';

interface State {
  readonly log: readonly Envelope[];
  /** Appends sent and not yet delivered; each may be delivered twice. */
  readonly inFlight: readonly Envelope[];
  readonly holders: readonly HolderPhase[];
  /** Number of times that the call was dispatched. */
  readonly runs: number;
}

const KEY = 'key';
const MAX_LOG = 6;
const fold = createClaimsFold(1);

const claimId = (holder: number): string => `claim-${holder}`;

const createRecord = (kind: ClaimRecordKind, holder: number): Envelope => {
  const id = kind === ClaimRecordKind.Claim ? claimId(holder) : `${claimId(holder)}/${kind}`;
  return { id, body: { kind, key: KEY, claimId: claimId(holder), bodySha256: '' } };
};

const withPhase = (state: State, holder: number, phase: HolderPhase): State => ({
  ...state,
  holders: state.holders.map((other, index) => (index === holder ? phase : other)),
});

const startAppend = (state: State, envelope: Envelope): State => ({
  ...state,
  inFlight: [...state.inFlight, envelope],
});

/**
 * Returns the specification of two holders that claim one key. Appends arrive late, twice or never,
 * and holders can pause at any point.
 *
 * @example
 * explore(claimsSpec(['first_claim_wins']), 200_000).counterexample;
 */
const claimsSpec = (removedRules: readonly ClaimsRule[]): Spec<State> => {
  const hasRule = (rule: ClaimsRule): boolean => !removedRules.includes(rule);

  const currentClaims = (state: State): ClaimsState => foldAll(fold, state.log, true).state;

  const hasWon = (state: State, holder: number): boolean => {
    const isInLog = state.log.some((envelope) => envelope.id === claimId(holder));
    const entry = currentClaims(state).get(KEY);
    if (!hasRule('first_claim_wins')) return isInLog;
    if (!hasRule('read_own_claim')) return true;
    return entry?.claimId === claimId(holder) && entry.phase === ClaimPhase.Claimed;
  };

  const isUndone = (state: State, holder: number): boolean =>
    currentClaims(state).get(KEY)?.voided.includes(claimId(holder)) === true;

  const deliverySteps = (state: State): Step<State>[] => {
    if (state.log.length >= MAX_LOG) return [];
    return state.inFlight.flatMap((envelope, position) => {
      const log = [...state.log, envelope];
      const remaining = state.inFlight.filter((_other, index) => index !== position);
      const isDuplicate = state.log.some(({ id }) => id === envelope.id);
      const deliveredOnce = {
        name: `${envelope.id} arrives`,
        next: { ...state, log, inFlight: remaining },
      };
      const deliveredRepeatedly = {
        name: `${envelope.id} arrives and may arrive again`,
        next: { ...state, log },
      };
      return isDuplicate ? [deliveredOnce] : [deliveredOnce, deliveredRepeatedly];
    });
  };

  const claiming = (state: State, holder: number): Step<State>[] => {
    const steps: Step<State>[] = [];
    if (hasWon(state, holder)) {
      steps.push({ name: `${holder} wins`, next: withPhase(state, holder, 'won') });
    }
    const entry = currentClaims(state).get(KEY);
    const hasOtherClaim = entry !== undefined && entry.claimId !== claimId(holder);
    if (hasOtherClaim && entry.phase === ClaimPhase.Claimed) {
      const next = hasRule('no_takeover') ? 'lost' : 'won';
      steps.push({ name: `${holder} sees an earlier claim`, next: withPhase(state, holder, next) });
    }
    const undoing = startAppend(
      withPhase(state, holder, 'undoing'),
      createRecord(ClaimRecordKind.Release, holder),
    );
    const refused = withPhase(state, holder, 'refused_not_run');
    const next = hasRule('undo_before_giving_up') ? undoing : refused;
    steps.push({ name: `${holder} gives up its claim`, next });
    return steps;
  };

  const holderSteps: Readonly<
    Record<HolderPhase, (state: State, holder: number) => readonly Step<State>[]>
  > = {
    idle: (state, holder) => {
      const next = startAppend(
        withPhase(state, holder, 'claiming'),
        createRecord(ClaimRecordKind.Claim, holder),
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
      const release = createRecord(ClaimRecordKind.Release, holder);
      const expired = startAppend(withPhase(state, holder, 'undoing'), release);
      return [
        { name: `${holder} dispatches`, next: sent },
        { name: `${holder} finds the deadline passed`, next: expired },
      ];
    },
    sent: () => [],
    refused_not_run: () => [],
    lost: () => [],
  };

  /** Whether no append can arrive any more and every holder is idle or has refused. */
  const isSettled = (state: State): boolean =>
    state.inFlight.length === 0 &&
    state.holders.every((phase) => phase === 'refused_not_run' || phase === 'idle');

  return {
    name: 'claims',
    initial: { log: [], inFlight: [], holders: ['idle', 'idle'], runs: 0 },
    steps: (state) => [
      ...deliverySteps(state),
      ...state.holders.flatMap((phase, holder) => holderSteps[phase](state, holder)),
    ],
    brokenInvariant: (state) => {
      if (state.runs > 1) return 'a call runs at most once';
      const isHeld = currentClaims(state).get(KEY)?.phase === ClaimPhase.Claimed;
      if (isSettled(state) && isHeld) return 'after a true "not run", a repeat can win';
      return undefined;
    },
  };
};

export default claimsSpec;
