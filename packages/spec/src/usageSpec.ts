import type Spec from './Spec';
import type Step from './Step';
import type UsageModel from './UsageModel';

type Tenure = NonNullable<UsageModel['tenures'][number]>;
type Append = NonNullable<UsageModel['stray']>;
type Kind = Append['record']['kind'];

/** A rule of the usage duty that a mutation can remove. */
type UsageRule =
  | 'decision_before_report'
  | 'read_decisions'
  | 'fixed_proposal'
  | 'era_mark'
  | 'certain_decisions'
  | 'reset_with_authority';

interface Bounds {
  readonly machines: number;
  /** How often a machine takes the lease. */
  readonly takes: number;
  /** How many different counts there can be. */
  readonly contents: number;
  /** How often the store comes back from an older copy. */
  readonly returns: number;
  /** How many appends are carried out, or lost, after their caller has given up. */
  readonly late: number;
}

const FIRST_ERA = 0;

const withTenure = (state: UsageModel, index: number, tenure: Tenure | null): UsageModel => ({
  ...state,
  tenures: state.tenures.map((one, other) => (other === index ? tenure : one)),
});

const withReport = (
  state: UsageModel,
  index: number,
  report: UsageModel['reports'][number],
): UsageModel => ({
  ...state,
  reports: state.reports.map((one, other) => (other === index ? report : one)),
});

const carryOut = (state: UsageModel, { at, record }: Append): UsageModel =>
  at === state.log.length ? { ...state, log: [...state.log, record] } : state;

const newestOf = ({ log }: UsageModel, kind: Kind) =>
  log.findLast((record) => record.kind === kind);

/**
 * Returns the specification of the usage duty for one window that ended in the first era. Holders decide other counts each time
 * that they decide; their appends are carried out late or lose their answers, the authority ends at any step, also with
 * a report on its way, and the store comes back from an older copy. That one machine has authority at a time is what
 * `leaseSpec` shows. The steps of `UsageReporter` and `Lease.appendEntry` are written again here.
 *
 * @example
 * explore(usageSpec({ machines: 2, takes: 2, contents: 2, returns: 1, late: 0 }, ['era_mark']), 100_000).counterexample;
 */
const usageSpec = (bounds: Bounds, removedRules: readonly UsageRule[]): Spec<UsageModel> => {
  const hasRule = (rule: UsageRule): boolean => !removedRules.includes(rule);

  const takeSteps = (state: UsageModel, index: number): Step<UsageModel>[] => {
    if (state.holder !== null || state.takes === bounds.takes) return [];
    const fence = state.takes + 1;
    const record = { kind: 'lease', fence, content: 0, era: state.era, isOpen: false } as const;
    const taken = { ...state, takes: fence, holder: index, log: [...state.log, record] };
    const tenure: Tenure = {
      fence,
      next: { era: state.era, offset: taken.log.length },
      isLoaded: false,
      markedEra: -1,
      mayDecide: false,
      known: 0,
      proposed: 0,
      isRewritten: false,
      call: null,
    };
    return [{ name: `${index} takes the lease`, next: withTenure(taken, index, tenure) }];
  };

  const loaded = (state: UsageModel, tenure: Tenure): Tenure => {
    const found = hasRule('read_decisions') ? newestOf(state, 'decision') : undefined;
    const isCertain = found?.era === state.era || !hasRule('certain_decisions');
    const known = isCertain ? (found?.content ?? 0) : 0;
    const mark = newestOf(state, 'mark');
    const isMarked = mark?.era === state.era;
    const isFirstEra = state.era === FIRST_ERA || !hasRule('era_mark');
    const isOpen = isMarked && mark !== undefined ? mark.isOpen : isFirstEra;
    const mayDecide = isOpen && found === undefined;
    return { ...tenure, isLoaded: true, known, mayDecide, markedEra: isMarked ? state.era : -1 };
  };

  const append = (
    state: UsageModel,
    index: number,
    tenure: Tenure,
    record: Pick<Append['record'], 'kind' | 'content' | 'isOpen'>,
  ): UsageModel => {
    const { fence, next } = tenure;
    const call = { at: next.offset, record: { ...record, fence, era: next.era } };
    return withTenure(state, index, { ...tenure, call });
  };

  const entrySteps = (state: UsageModel, index: number, tenure: Tenure): Step<UsageModel>[] => {
    const { known, mayDecide, proposed, isRewritten } = tenure;
    if (tenure.markedEra !== tenure.next.era) {
      const isOpen = mayDecide && known === 0;
      const kind = known !== 0 && !isRewritten ? 'decision' : 'mark';
      const record = { kind, content: kind === 'mark' ? 0 : known, isOpen } as const;
      return [
        { name: `${index} writes a ${kind} again`, next: append(state, index, tenure, record) },
      ];
    }
    if (known !== 0 || !mayDecide) return [];
    const isRepeated = proposed !== 0 && hasRule('fixed_proposal');
    if (!isRepeated && state.contents === bounds.contents) return [];
    const content = isRepeated ? proposed : state.contents + 1;
    const counted = { ...state, contents: Math.max(state.contents, content) };
    if (!hasRule('decision_before_report')) {
      const next = withTenure(counted, index, { ...tenure, known: content });
      return [{ name: `${index} decides without a record`, next }];
    }
    const record = { kind: 'decision', content, isOpen: false } as const;
    const next = append(counted, index, { ...tenure, proposed: content }, record);
    return [{ name: `${index} decides`, next }];
  };

  const holderSteps = (state: UsageModel, index: number): Step<UsageModel>[] => {
    const tenure = state.tenures[index];
    if (tenure === null || tenure.call !== null || state.holder !== index) return [];
    if (!tenure.isLoaded) {
      const next = withTenure(state, index, loaded(state, tenure));
      return [{ name: `${index} reads the decisions`, next }];
    }
    const { known: content, fence } = tenure;
    const report = { fence, content };
    const sends =
      content === 0 || state.reports[index] !== null
        ? []
        : [{ name: `${index} begins a report`, next: withReport(state, index, report) }];
    return [...entrySteps(state, index, tenure), ...sends];
  };

  const stored = (tenure: Tenure, { record }: Append): Tenure => {
    if (record.kind === 'mark') return { ...tenure, markedEra: record.era, isRewritten: false };
    if (tenure.known !== 0) return { ...tenure, isRewritten: true };
    // What the holder has tried last, which the place in the store does not tell from what it tried before.
    return { ...tenure, known: record.content };
  };

  /** A holder learns what became of its append, from the answer or by reading the store. */
  const learn = (
    state: UsageModel,
    index: number,
    { tenure, call, isAppended }: { tenure: Tenure; call: Append; isAppended: boolean },
  ): UsageModel => {
    const ended = { ...tenure, call: null };
    const { era, log } = state;
    if (isAppended) {
      const next = { era, offset: call.at + 1 };
      return withTenure(state, index, stored({ ...ended, next }, call));
    }
    if (newestOf(state, 'lease')?.fence !== tenure.fence && era === tenure.next.era) {
      return withTenure(state, index, null);
    }
    const next = { era, offset: log.length };
    const isLonger = era === tenure.next.era && log.length > call.at;
    const known = isLonger ? stored({ ...ended, next }, call) : { ...ended, next };
    return withTenure(state, index, known);
  };

  const callSteps = (state: UsageModel, index: number): Step<UsageModel>[] => {
    const tenure = state.tenures[index];
    if (tenure === null || tenure.call === null) return [];
    const { call } = tenure;
    const isAppended = call.at === state.log.length;
    const after = carryOut(state, call);
    const word = isAppended ? 'carried out' : 'refused';
    const givenUp = { ...tenure, call: null };
    const steps = [
      {
        name: `the append of ${index} is ${word}`,
        next: learn(after, index, { tenure, call, isAppended }),
      },
      {
        name: `the append of ${index} is ${word} without an answer`,
        next: withTenure(after, index, givenUp),
      },
    ];
    if (state.stray !== null || state.lateLeft === 0) return steps;
    const late = withTenure(
      { ...state, lateLeft: state.lateLeft - 1, stray: call },
      index,
      givenUp,
    );
    return [...steps, { name: `${index} gives up its append, which is under way`, next: late }];
  };

  const reportSteps = (state: UsageModel, index: number): Step<UsageModel>[] => {
    const report = state.reports[index];
    const { received } = state;
    if (report === null) return [];
    const { content, fence } = report;
    const faults: readonly (readonly [boolean, string])[] = [
      [received.content !== 0 && received.content !== content, 'a window has one content'],
      [fence < received.fence, 'a fencing token never falls'],
    ];
    const broken = faults.find(([isBroken]) => isBroken)?.[1] ?? null;
    const ended = withReport(state, index, null);
    const arrived = { ...ended, received: { content, fence }, broken };
    return [
      { name: `the report of ${index} arrives`, next: arrived },
      { name: `the report of ${index} is lost`, next: ended },
    ];
  };

  const surroundingSteps = (state: UsageModel): Step<UsageModel>[] => {
    const { holder, stray, returnsLeft, log, era } = state;
    const reset = hasRule('reset_with_authority') ? state.reports.map(() => null) : state.reports;
    const ends =
      holder === null
        ? []
        : [
            {
              name: `the authority of ${holder} ends`,
              next: { ...state, holder: null, reports: reset },
            },
          ];
    const late =
      stray === null
        ? []
        : [
            { name: 'an append arrives late', next: { ...carryOut(state, stray), stray: null } },
            { name: 'an append never arrives', next: { ...state, stray: null } },
          ];
    if (returnsLeft === 0) return [...ends, ...late];
    const copies = [...log.keys(), log.length].map((length) => ({
      name: `the store comes back with ${length} records`,
      next: { ...state, era: era + 1, log: log.slice(0, length), returnsLeft: returnsLeft - 1 },
    }));
    return [...ends, ...late, ...copies];
  };

  return {
    name: `usage duty, ${bounds.returns} returns of the store`,
    initial: {
      era: FIRST_ERA,
      log: [],
      holder: null,
      tenures: Array.from({ length: bounds.machines }, () => null),
      stray: null,
      reports: Array.from({ length: bounds.machines }, () => null),
      received: { content: 0, fence: 0 },
      contents: 0,
      takes: 0,
      returnsLeft: bounds.returns,
      lateLeft: bounds.late,
      broken: null,
    },
    steps: (state) => [
      ...surroundingSteps(state),
      ...state.tenures.flatMap((_, index) => [
        ...takeSteps(state, index),
        ...holderSteps(state, index),
        ...callSteps(state, index),
        ...reportSteps(state, index),
      ]),
    ],
    brokenInvariant: ({ broken }) => broken ?? undefined,
  };
};

export default usageSpec;
