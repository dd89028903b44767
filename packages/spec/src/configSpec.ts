import { configFold, EditKind } from '@wisteriapath/config';
import { type Envelope, RecordVerdict } from '@wisteriapath/log-client';
import { TableName } from '@wisteriapath/model';
import type Spec from './Spec';
import type Step from './Step';
import foldAll from './foldAll';

/** Rules of the configuration protocol that can be removed. */
type ConfigRule = 'unique_ids' | 'cancel_of_unknown';

interface State {
  readonly log: readonly Envelope[];
  readonly underWay: readonly Envelope[];
  /** What each of the two operators was told: nothing yet, or the outcome. */
  readonly told: readonly ('nothing' | 'waiting' | 'cancelling' | 'accepted' | 'not_made')[];
}

const NAME = 'route';
const MAX_LOG = 5;

/** The first operator creates a row, the second removes it once it is there. */
const EDITS = [
  { kind: EditKind.Set, table: TableName.Routes, name: NAME, expectedVersion: 0, value: {} },
  { kind: EditKind.Remove, table: TableName.Routes, name: NAME, expectedVersion: 1 },
];

/**
 * Two operators edit one row: appends arrive late, twice or never.
 *
 * @example
 * explore(configSpec(['unique_ids']), 100_000).counterexample;
 */
const configSpec = (removed: readonly ConfigRule[]): Spec<State> => {
  const has = (rule: ConfigRule): boolean => !removed.includes(rule);
  const fold = (state: State) => foldAll(configFold, state.log, has('unique_ids'));
  const verdictOf = (state: State, operator: number): RecordVerdict | undefined => {
    const verdicts = fold(state).recentVerdicts;
    const id = `edit-${operator}`;
    return verdicts.get(id) ?? verdicts.findEntry((_verdict, key) => key.startsWith(`${id}@`))?.[1];
  };
  const tell = (state: State, operator: number, outcome: State['told'][number]): State => ({
    ...state,
    told: state.told.map((other, index) => (index === operator ? outcome : other)),
  });
  const send = (state: State, envelope: Envelope): State => ({
    ...state,
    underWay: [...state.underWay, envelope],
  });

  const arrivals = (state: State): Step<State>[] => {
    if (state.log.length >= MAX_LOG) return [];
    return state.underWay.flatMap((envelope, position) => {
      const log = [...state.log, envelope];
      const underWay = state.underWay.filter((_other, index) => index !== position);
      const isRepeat = state.log.some(({ id }) => id === envelope.id);
      const once = { name: `${envelope.id} arrives`, next: { ...state, log, underWay } };
      const again = { name: `${envelope.id} arrives and may again`, next: { ...state, log } };
      return isRepeat ? [once] : [once, again];
    });
  };

  const operatorSteps = (state: State, operator: number): Step<State>[] => {
    const phase = state.told[operator];
    if (phase === 'nothing') {
      const isTurn = operator === 0 || state.told[0] === 'accepted';
      const envelope = { id: `edit-${operator}`, body: EDITS[operator] };
      const next = send(tell(state, operator, 'waiting'), envelope);
      return isTurn ? [{ name: `operator ${operator} edits`, next }] : [];
    }
    if (phase === 'accepted' || phase === 'not_made') return [];
    const verdict = verdictOf(state, operator);
    if (verdict === RecordVerdict.Accepted) {
      const next = tell(state, operator, 'accepted');
      return [{ name: `operator ${operator} is told accepted`, next }];
    }
    if (verdict !== undefined) {
      const next = tell(state, operator, 'not_made');
      return [{ name: `operator ${operator} is told not made`, next }];
    }
    if (phase === 'cancelling') return [];
    const cancel = { id: `cancel-${operator}`, cancels: `edit-${operator}` };
    const next = has('cancel_of_unknown')
      ? send(tell(state, operator, 'cancelling'), cancel)
      : tell(state, operator, 'not_made');
    return [{ name: `operator ${operator} gives up`, next }];
  };

  return {
    name: 'configuration',
    initial: { log: [], underWay: [], told: ['nothing', 'nothing'] },
    steps: (state) => [
      ...arrivals(state),
      ...state.told.flatMap((_phase, operator) => operatorSteps(state, operator)),
    ],
    broken: (state) => {
      const isThere = fold(state).state.tables[TableName.Routes].has(NAME);
      const [created, deleted] = state.told;
      if (deleted === 'accepted' && isThere) return 'an accepted edit never reverts';
      if (created === 'not_made' && isThere) return 'an edit told as not made is not made';
      return undefined;
    },
  };
};

export default configSpec;
