import {
  comparePositions,
  fenceOf,
  isCertainLease,
  LeaseClaim,
  leaseClaimOf,
  type LeaseState,
  type StorePosition,
} from '@wisteriapath/fleet';
import type LeaseModel from './LeaseModel';
import type Spec from './Spec';
import type Step from './Step';
import leaseAfterTick from './leaseAfterTick';
import leaseTicks from './leaseTicks';
import leaseWithOrders from './leaseWithOrders';
import leaseWithoutPast from './leaseWithoutPast';

type Machine = LeaseModel['machines'][number];
type Tenure = NonNullable<Machine['tenure']>;
type Call = NonNullable<Machine['call']>;
type Append = NonNullable<LeaseModel['stray']>;

/** A rule of the lease that a mutation can remove. */
type LeaseRule =
  'era_in_token' | 'certain_records' | 'era_of_append' | 'authority_at_return' | 'handover_wait';

interface Bounds {
  readonly machines: number;
  /** How often the store comes back from an older copy. */
  readonly returns: number;
  /** How often a process restarts, or releases the lease and restarts. */
  readonly restarts: number;
  /** How many appends are carried out, or lost, after their caller has given up. */
  readonly late: number;
  /** Appends that are not sent any more once the store has so many records. */
  readonly records: number;
}

/** A machine that has just started. */
const NEW_MACHINE: Machine = {
  incarnation: 0,
  tenure: null,
  hasLostTenure: false,
  observed: null,
  call: null,
};

/** A machine that has just taken the lease as the first one. */
const FIRST_HOLDER: Machine = {
  ...NEW_MACHINE,
  tenure: {
    fence: fenceOf({ era: 0, offset: 0 }),
    next: { era: 0, offset: 1 },
    age: 0,
    orderWait: 0,
    unknownAge: null,
    isDoubtful: false,
  },
};

const isCurrent = ({ age }: Tenure): boolean => age < leaseTicks.lease;

const newestOf = ({ era, entries }: LeaseModel): LeaseState => {
  const last = entries.at(-1);
  const record = last === undefined ? null : { ...last, offset: entries.length - 1 };
  return { era, record, nextOffset: entries.length };
};

const withMachine = (state: LeaseModel, index: number, change: Partial<Machine>): LeaseModel => ({
  ...state,
  machines: state.machines.map((one, other) => (other === index ? { ...one, ...change } : one)),
});

/** Carries out an append if its offset is the next one, whatever its era. */
const carryOut = (state: LeaseModel, { at, content }: Append): LeaseModel =>
  at.offset === state.entries.length
    ? { ...state, entries: [...state.entries, { ...content, writtenInEra: at.era }] }
    : state;

const lost = (state: LeaseModel, index: number): LeaseModel =>
  withMachine(state, index, { tenure: null, hasLostTenure: true, call: null });

/**
 * Returns the specification of the lease to give orders, kept in a store that comes back from older copies: to any
 * earlier record at any step. Appends are carried out late or lose their answers, processes stand still for any time,
 * restart and release. It claims the lease and forms tokens with the functions of the library.
 *
 * @example
 * explore(leaseSpec({ machines: 2, returns: 1, restarts: 0, late: 1, records: 3 }, ['era_in_token']), 100_000).counterexample;
 */
const leaseSpec = (bounds: Bounds, removedRules: readonly LeaseRule[]): Spec<LeaseModel> => {
  const hasRule = (rule: LeaseRule): boolean => !removedRules.includes(rule);
  const nameOf = ({ machines }: LeaseModel, index: number): string =>
    `${index}#${machines[index].incarnation}`;
  const tokenOf = (at: StorePosition): number =>
    fenceOf(hasRule('era_in_token') ? at : { ...at, era: 0 });
  const handoverTicks = hasRule('handover_wait') ? leaseTicks.handover : 0;

  /** Whether a tenure goes on though what the store says does not prove it. */
  const outlasts = (tenure: Tenure): boolean =>
    isCurrent(tenure) || !hasRule('authority_at_return');

  const claimOf = (state: LeaseModel, index: number): LeaseClaim => {
    const newest = newestOf(state);
    const { hasLostTenure } = state.machines[index];
    if (hasLostTenure && newest.record?.holder === nameOf(state, index)) {
      return LeaseClaim.AfterExpiry;
    }
    const record = newest.record && { ...newest.record, writtenInEra: newest.era };
    const isTrusting = !hasRule('certain_records');
    const seen = isTrusting ? { ...newest, record, era: record === null ? 0 : newest.era } : newest;
    return leaseClaimOf(seen, `${index}`);
  };

  const send = (
    state: LeaseModel,
    index: number,
    orderWait: number | null,
    at: StorePosition,
  ): LeaseModel => {
    const { tenure } = state.machines[index];
    const isSettled = (orderWait ?? tenure?.orderWait) === 0;
    const content = { holder: nameOf(state, index), released: false, isSettled };
    return withMachine(state, index, { call: { at, content, age: 0, orderWait } });
  };

  /** A machine without the lease reads the store, and takes the lease if it may. */
  const candidateSteps = (state: LeaseModel, index: number): Step<LeaseModel>[] => {
    const { tenure, call, observed } = state.machines[index];
    if (tenure !== null || call !== null || state.entries.length >= bounds.records) return [];
    const { era, record, nextOffset } = newestOf(state);
    const at = { era, offset: nextOffset };
    const take = (wait: number) => send(state, index, wait, at);
    const claim = claimOf(state, index);
    if (claim !== LeaseClaim.AfterExpiry) {
      const wait = claim === LeaseClaim.AtOnce ? 0 : handoverTicks;
      return [{ name: `${index} takes the lease (${claim})`, next: take(wait) }];
    }
    const position = { era, offset: record?.offset ?? -1 };
    if (observed === null || comparePositions(position, observed.position) !== 0) {
      const next = withMachine(state, index, { observed: { position, age: 0 } });
      return [{ name: `${index} begins to wait`, next }];
    }
    if (observed.age < leaseTicks.lease) return [];
    return [{ name: `${index} takes the lease (${claim})`, next: take(handoverTicks) }];
  };

  const applyNewest = (state: LeaseModel, index: number, tenure: Tenure): LeaseModel => {
    const { era, record, nextOffset } = newestOf(state);
    const next = { era, offset: nextOffset };
    const isCertain = isCertainLease({ era, record });
    const isOwn = isCertain && record?.holder === nameOf(state, index);
    const settled = { ...tenure, next, isDoubtful: false };
    if (!isCertain || era !== tenure.next.era) {
      if (!outlasts(tenure)) return lost(state, index);
      if (!isCertain || isOwn) {
        const isMoved = comparePositions(next, tenure.next) !== 0;
        const unknownAge = isMoved ? null : tenure.unknownAge;
        return withMachine(state, index, { tenure: { ...settled, unknownAge } });
      }
    }
    if (!isOwn) return lost(state, index);
    const isStored = nextOffset > tenure.next.offset;
    const age = tenure.unknownAge ?? tenure.age;
    const renewed = isStored ? { ...settled, age, unknownAge: null } : settled;
    return withMachine(state, index, { tenure: renewed });
  };

  /** A holder sends a renewal, or reads the store after one whose outcome it does not know. */
  const holderSteps = (state: LeaseModel, index: number): Step<LeaseModel>[] => {
    const { tenure, call } = state.machines[index];
    if (tenure === null || call !== null) return [];
    if (tenure.isDoubtful) {
      return [{ name: `${index} asks the store`, next: applyNewest(state, index, tenure) }];
    }
    if (state.entries.length >= bounds.records) return [];
    return [{ name: `${index} renews`, next: send(state, index, null, tenure.next) }];
  };

  /** Applies the answer to an append, which bears the present era of the store. */
  const applyAnswer = (
    state: LeaseModel,
    index: number,
    call: Call,
    isAppended: boolean,
  ): LeaseModel => {
    const { tenure } = state.machines[index];
    const { era } = state;
    const { at, age, orderWait } = call;
    const next = { era, offset: at.offset + 1 };
    if (orderWait !== null) {
      const isTaken = isAppended && (era === at.era || !hasRule('era_of_append'));
      const taken = {
        fence: tokenOf(at),
        next,
        age,
        orderWait,
        unknownAge: null,
        isDoubtful: false,
      };
      return withMachine(state, index, {
        call: null,
        ...(isTaken ? { tenure: taken, hasLostTenure: false, observed: null } : {}),
      });
    }
    if (tenure === null) return withMachine(state, index, { call: null });
    if (!isAppended) {
      return withMachine(state, index, {
        call: null,
        tenure: { ...tenure, unknownAge: tenure.unknownAge ?? age, isDoubtful: true },
      });
    }
    if (era !== at.era && !outlasts(tenure)) return lost(state, index);
    const renewed = { ...tenure, next, age, unknownAge: null };
    return withMachine(state, index, { call: null, tenure: renewed });
  };

  /** The caller of an append does not know its outcome. */
  const giveUp = (state: LeaseModel, index: number, { age, orderWait }: Call): LeaseModel => {
    const { tenure } = state.machines[index];
    const isRenewal = tenure !== null && orderWait === null;
    const unknown = tenure && { ...tenure, unknownAge: tenure.unknownAge ?? age, isDoubtful: true };
    return withMachine(state, index, { call: null, ...(isRenewal ? { tenure: unknown } : {}) });
  };

  const callSteps = (state: LeaseModel, index: number): Step<LeaseModel>[] => {
    const { call } = state.machines[index];
    if (call === null) return [];
    const isAppended = call.at.offset === state.entries.length;
    const after = carryOut(state, call);
    const answered = {
      name: `the append of ${index} is ${isAppended ? 'carried out' : 'refused'}`,
      next: applyAnswer(after, index, call, isAppended),
    };
    const unanswered = {
      name: `the append of ${index} is ${isAppended ? 'carried out' : 'refused'} without an answer`,
      next: giveUp(after, index, call),
    };
    if (state.stray !== null || state.lateLeft === 0) return [answered, unanswered];
    const { at, content } = call;
    const late = {
      name: `${index} gives up its append, which is under way`,
      next: giveUp({ ...state, lateLeft: state.lateLeft - 1, stray: { at, content } }, index, call),
    };
    return [answered, unanswered, late];
  };

  const restartSteps = (state: LeaseModel, index: number): Step<LeaseModel>[] => {
    const machine = state.machines[index];
    const { tenure, call, incarnation } = machine;
    if (state.restartsLeft === 0 || (tenure === null && call === null)) return [];
    const fresh = { ...NEW_MACHINE, incarnation: incarnation + 1 };
    const restarted = withMachine({ ...state, restartsLeft: state.restartsLeft - 1 }, index, fresh);
    const restart = { name: `${index} restarts`, next: restarted };
    if (tenure === null || state.stray !== null || state.lateLeft === 0) return [restart];
    const isSettled = tenure.orderWait === 0;
    const content = { holder: nameOf(state, index), released: true, isSettled };
    const lateLeft = state.lateLeft - 1;
    const next = { ...restarted, lateLeft, stray: { at: tenure.next, content } };
    return [restart, { name: `${index} releases the lease and restarts`, next }];
  };

  const storeSteps = (state: LeaseModel): Step<LeaseModel>[] => {
    const { stray, returnsLeft, era, entries } = state;
    const late =
      stray === null
        ? []
        : [
            { name: 'an append arrives late', next: { ...carryOut(state, stray), stray: null } },
            { name: 'an append never arrives', next: { ...state, stray: null } },
          ];
    if (returnsLeft === 0) return late;
    const copies = [...entries.keys(), entries.length].map((length) => ({
      name: `the store comes back with ${length} records`,
      next: {
        ...state,
        era: era + 1,
        entries: entries.slice(0, length),
        returnsLeft: returnsLeft - 1,
      },
    }));
    return [...late, ...copies];
  };

  const allSteps = (state: LeaseModel): Step<LeaseModel>[] => [
    { name: 'time passes', next: leaseAfterTick(state) },
    ...storeSteps(state),
    ...state.machines.flatMap((_, index) => [
      ...candidateSteps(state, index),
      ...holderSteps(state, index),
      ...callSteps(state, index),
      ...restartSteps(state, index),
    ]),
  ];

  return {
    name: `lease, ${bounds.returns} returns of the store`,
    initial: {
      era: 0,
      entries: [{ holder: '0#0', released: false, isSettled: true, writtenInEra: 0 }],
      machines: Array.from({ length: bounds.machines }, (_, index) =>
        index === 0 ? FIRST_HOLDER : NEW_MACHINE,
      ),
      stray: null,
      order: null,
      returnsLeft: bounds.returns,
      restartsLeft: bounds.restarts,
      lateLeft: bounds.late,
      broken: null,
    },
    steps: (state) =>
      allSteps(state).map(({ name, next }) => ({
        name,
        next: leaseWithoutPast(leaseWithOrders(next)),
      })),
    brokenInvariant: ({ broken }) => broken ?? undefined,
  };
};

export default leaseSpec;
