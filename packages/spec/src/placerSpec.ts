import { type RoleHolder, RoleRecordKind, rolesFold, TakeoverReason } from '@wisteriapath/ledger';
import type { Envelope } from '@wisteriapath/log-client';
import type Spec from './Spec';
import type Step from './Step';
import foldAll from './foldAll';

/** A rule of the placer role's tenure that a mutation can remove. */
type PlacerRule = 'fencing' | 'freezing';

interface Order {
  readonly placer: number;
  readonly fencing: number;
}

interface State {
  readonly log: readonly Envelope[];
  /** Orders sent and not yet delivered. */
  readonly inFlight: readonly Order[];
  /** Whether each placer has sent its load order. */
  readonly hasOrdered: readonly boolean[];
  /**
   * Whether placer 0 is frozen. It then neither reads the log nor drops an order it is about to
   * send.
   */
  readonly isFrozen: boolean;
  /** Epoch that each placer believes it holds; 0 for none. */
  readonly believedEpochs: readonly number[];
  readonly highestFencing: number;
  /** Placers whose load orders the target executed; its memory holds one model. */
  readonly loads: readonly number[];
}

const ROLE = 'placer/khomas-a';
const holderOf = (placer: number): RoleHolder => ({
  name: `entry-${placer}`,
  failureDomain: 'khomas-a',
  incarnation: `incarnation-${placer}`,
  address: `127.0.0.1:${placer}`,
});

const takeRecord = (placer: number, expectedEpoch: number, reason: TakeoverReason): Envelope => ({
  id: `take-${placer}-${expectedEpoch}`,
  body: { kind: RoleRecordKind.Take, role: ROLE, expectedEpoch, holder: holderOf(placer), reason },
});

/**
 * Returns the specification of a placer that freezes while an order is in flight and is replaced
 * because it is silent. The target has memory for one model; the new placer reads the target's
 * report before it decides.
 *
 * @example
 * explore(placerSpec(false, ['freezing']), 100_000).counterexample;
 */
const placerSpec = (
  isFencingChecked: boolean,
  removedRules: readonly PlacerRule[],
): Spec<State> => {
  const hasRule = (rule: PlacerRule): boolean => !removedRules.includes(rule);
  const currentTenure = (state: State) =>
    foldAll(rolesFold, state.log, true).state.tenures.get(ROLE);
  const checksFencing = isFencingChecked && hasRule('fencing');

  const deliverySteps = (state: State): Step<State>[] =>
    state.inFlight.map((order, position) => {
      const inFlight = state.inFlight.filter((_other, index) => index !== position);
      const isStale = checksFencing && order.fencing < state.highestFencing;
      const highestFencing = Math.max(state.highestFencing, order.fencing);
      const next = isStale
        ? { ...state, inFlight }
        : { ...state, inFlight, highestFencing, loads: [...state.loads, order.placer] };
      return { name: `order of ${order.placer} arrives`, next };
    });

  const withBelievedEpoch = (state: State, placer: number, epoch: number): State => ({
    ...state,
    believedEpochs: state.believedEpochs.map((other, index) => (index === placer ? epoch : other)),
  });

  const takeoverSteps = (state: State, placer: number): Step<State>[] => {
    const current = currentTenure(state);
    const isOwn = current?.holder.incarnation === holderOf(placer).incarnation;
    const isVacant = current === undefined;
    if (isOwn || (!isVacant && !(state.isFrozen && placer === 1))) return [];
    const reason = isVacant ? TakeoverReason.Vacant : TakeoverReason.Silent;
    const expectedEpoch = current?.epoch ?? 0;
    const taken = { ...state, log: [...state.log, takeRecord(placer, expectedEpoch, reason)] };
    const next = withBelievedEpoch(taken, placer, currentTenure(taken)?.epoch ?? 0);
    return [{ name: `${placer} takes the role (${reason})`, next }];
  };

  /**
   * Whether a placer may send its load. The new placer fences the target and reads its report
   * first.
   */
  const canOrder = (state: State, placer: number): boolean => {
    if (state.believedEpochs[placer] === 0 || state.hasOrdered[placer]) return false;
    if (placer === 0) return true;
    const unproved = currentTenure(state)?.unproved ?? [];
    if (!isFencingChecked && hasRule('freezing') && unproved.length > 0) return false;
    return state.loads.length === 0;
  };

  const orderSteps = (state: State, placer: number): Step<State>[] => {
    if (!canOrder(state, placer) || (placer === 0 && state.isFrozen)) return [];
    const order = { placer, fencing: state.believedEpochs[placer] };
    const hasOrdered = state.hasOrdered.map((other, index) => other || index === placer);
    const highestFencing = Math.max(state.highestFencing, placer === 1 ? order.fencing : 0);
    const next = { ...state, hasOrdered, highestFencing, inFlight: [...state.inFlight, order] };
    return [{ name: `${placer} sends a load`, next }];
  };

  /** Clears the earlier holder as harmless: it reads the log again and has no order in flight. */
  const clearSteps = (state: State): Step<State>[] => {
    const unproved = currentTenure(state)?.unproved ?? [];
    const isHarmless = !state.isFrozen && !state.inFlight.some(({ placer }) => placer === 0);
    if (unproved.length === 0 || !isHarmless) return [];
    const body = {
      kind: RoleRecordKind.Clear,
      role: ROLE,
      incarnation: unproved[0].incarnation,
    };
    const log = [...state.log, { id: `clear-${state.log.length}`, body }];
    const next = withBelievedEpoch({ ...state, log }, 0, 0);
    return [{ name: '0 is known to be harmless', next }];
  };

  return {
    name: isFencingChecked ? 'placer, target checks fencing' : 'placer, target ignores fencing',
    initial: {
      log: [],
      inFlight: [],
      hasOrdered: [false, false],
      isFrozen: false,
      believedEpochs: [0, 0],
      highestFencing: 0,
      loads: [],
    },
    steps: (state) => [
      ...deliverySteps(state),
      ...[0, 1].flatMap((placer) => [
        ...takeoverSteps(state, placer),
        ...orderSteps(state, placer),
      ]),
      ...clearSteps(state),
      ...(state.isFrozen ? [] : [{ name: '0 freezes', next: { ...state, isFrozen: true } }]),
      ...(state.isFrozen ? [{ name: '0 resumes', next: { ...state, isFrozen: false } }] : []),
    ],
    brokenInvariant: (state) =>
      state.loads.length > 1 ? "a target's memory is never overcommitted" : undefined,
  };
};

export default placerSpec;
