import { configFold, EditKind } from '@wisteriapath/config';
import { type Envelope, RecordVerdict } from '@wisteriapath/log-client';
import { TableName } from '@wisteriapath/model';
import type Spec from './Spec';
import type Step from './Step';
import foldAll from './foldAll';

/** A rule of the configuration protocol that a mutation can remove. */
type ConfigRule = 'unique_ids' | 'cancel_of_unknown';

interface State {
  readonly log: readonly Envelope[];
  /** Appends sent and not yet delivered; each may be delivered twice. */
  readonly inFlight: readonly Envelope[];
  /** The progress of each operator's edit, up to the outcome reported to the operator. */
  readonly outcomes: readonly ('nothing' | 'waiting' | 'cancelling' | 'accepted' | 'not_made')[];
}

const NAME = 'route';
const MAX_LOG = 5;

/** The first operator creates a row; the second removes it after the creation is accepted. */
const EDITS = [
  { kind: EditKind.Set, table: TableName.Routes, name: NAME, expectedVersion: 0, value: {} },
  { kind: EditKind.Remove, table: TableName.Routes, name: NAME, expectedVersion: 1 },
];

/**
 * Returns the specification of two operators that edit one row. Appends arrive late, twice or
 * never.
 *
 * @example
 * explore(configSpec(['unique_ids']), 100_000).counterexample;
 */
const configSpec = (removedRules: readonly ConfigRule[]): Spec<State> => {
  const hasRule = (rule: ConfigRule): boolean => !removedRules.includes(rule);
  const fold = (state: State) => foldAll(configFold, state.log, hasRule('unique_ids'));
  const verdictOf = (state: State, operator: number): RecordVerdict | undefined => {
    const verdicts = fold(state).recentVerdicts;
    const id = `edit-${operator}`;
    return verdicts.get(id) ?? verdicts.findEntry((_verdict, key) => key.startsWith(`${id}@`))?.[1];
  };
  const withOutcome = (
    state: State,
    operator: number,
    outcome: State['outcomes'][number],
  ): State => ({
    ...state,
    outcomes: state.outcomes.map((other, index) => (index === operator ? outcome : other)),
  });
  const startAppend = (state: State, envelope: Envelope): State => ({
    ...state,
    inFlight: [...state.inFlight, envelope],
  });

  const deliverySteps = (state: State): Step<State>[] => {
    if (state.log.length >= MAX_LOG) return [];
    return state.inFlight.flatMap((envelope, position) => {
      const log = [...state.log, envelope];
      const inFlight = state.inFlight.filter((_other, index) => index !== position);
      const isDuplicate = state.log.some(({ id }) => id === envelope.id);
      const deliveredOnce = { name: `${envelope.id} arrives`, next: { ...state, log, inFlight } };
      const deliveredRepeatedly = {
        name: `${envelope.id} arrives and may arrive again`,
        next: { ...state, log },
      };
      return isDuplicate ? [deliveredOnce] : [deliveredOnce, deliveredRepeatedly];
    });
  };

  const operatorSteps = (state: State, operator: number): Step<State>[] => {
    const outcome = state.outcomes[operator];
    if (outcome === 'nothing') {
      const canEdit = operator === 0 || state.outcomes[0] === 'accepted';
      const envelope = { id: `edit-${operator}`, body: EDITS[operator] };
      const next = startAppend(withOutcome(state, operator, 'waiting'), envelope);
      return canEdit ? [{ name: `operator ${operator} edits`, next }] : [];
    }
    if (outcome === 'accepted' || outcome === 'not_made') return [];
    const verdict = verdictOf(state, operator);
    if (verdict === RecordVerdict.Accepted) {
      const next = withOutcome(state, operator, 'accepted');
      return [{ name: `operator ${operator} gets the report "accepted"`, next }];
    }
    if (verdict !== undefined) {
      const next = withOutcome(state, operator, 'not_made');
      return [{ name: `operator ${operator} gets the report "not made"`, next }];
    }
    if (outcome === 'cancelling') return [];
    const cancel = { id: `cancel-${operator}`, cancels: `edit-${operator}` };
    const next = hasRule('cancel_of_unknown')
      ? startAppend(withOutcome(state, operator, 'cancelling'), cancel)
      : withOutcome(state, operator, 'not_made');
    return [{ name: `operator ${operator} gives up`, next }];
  };

  return {
    name: 'configuration',
    initial: { log: [], inFlight: [], outcomes: ['nothing', 'nothing'] },
    steps: (state) => [
      ...deliverySteps(state),
      ...state.outcomes.flatMap((_phase, operator) => operatorSteps(state, operator)),
    ],
    brokenInvariant: (state) => {
      const hasRow = fold(state).state.tables[TableName.Routes].has(NAME);
      const [creation, removal] = state.outcomes;
      if (removal === 'accepted' && hasRow) return 'an accepted edit never reverts';
      if (creation === 'not_made' && hasRow) return 'an edit told as not made is not made';
      return undefined;
    },
  };
};

export default configSpec;
