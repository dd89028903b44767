import { type RoleHolder, RoleRecordKind, rolesFold, TakeoverReason } from '@wisteriapath/ledger';
import type { Envelope } from '@wisteriapath/log-client';
import type Spec from './Spec';
import type Step from './Step';
import foldAll from './foldAll';

/** Rules of the placer's tenure that can be removed. */
type PlacerRule = 'fencing' | 'freezing';

interface Order {
  readonly placer: number;
  readonly fencing: number;
}

interface State {
  readonly log: readonly Envelope[];
  /** Orders sent and not arrived yet. */
  readonly underWay: readonly Order[];
  /** Placers that have sent their load. */
  readonly ordered: readonly boolean[];
  /** A frozen placer neither reads the log nor gives up what it was about to send. */
  readonly frozen: boolean;
  /** Epoch that each placer believes to hold; 0 for none. */
  readonly believes: readonly number[];
  readonly highestFencing: number;
  /** Loads that the target took; it has memory for one. */
  readonly loads: readonly number[];
}

const ROLE = 'placer/khomas-a';
const holder = (placer: number): RoleHolder => ({
  name: `entry-${placer}`,
  failureDomain: 'khomas-a',
  incarnation: `incarnation-${placer}`,
  address: `127.0.0.1:${placer}`,
});

const take = (placer: number, expectedEpoch: number, reason: TakeoverReason): Envelope => ({
  id: `take-${placer}-${expectedEpoch}`,
  body: { kind: RoleRecordKind.Take, role: ROLE, expectedEpoch, holder: holder(placer), reason },
});

/**
 * A placer freezes with an order on its way and is replaced on silence. The target holds one model;
 * the new placer has read its report before it decides.
 *
 * @example
 * explore(placerSpec(false, ['freezing']), 100_000).counterexample;
 */
const placerSpec = (isFencing: boolean, removed: readonly PlacerRule[]): Spec<State> => {
  const has = (rule: PlacerRule): boolean => !removed.includes(rule);
  const tenure = (state: State) => foldAll(rolesFold, state.log, true).state.tenures.get(ROLE);
  const checksFencing = isFencing && has('fencing');

  const arrivals = (state: State): Step<State>[] =>
    state.underWay.map((order, position) => {
      const underWay = state.underWay.filter((_other, index) => index !== position);
      const isStale = checksFencing && order.fencing < state.highestFencing;
      const highestFencing = Math.max(state.highestFencing, order.fencing);
      const next = isStale
        ? { ...state, underWay }
        : { ...state, underWay, highestFencing, loads: [...state.loads, order.placer] };
      return { name: `order of ${order.placer} arrives`, next };
    });

  const believing = (state: State, placer: number, epoch: number): State => ({
    ...state,
    believes: state.believes.map((other, index) => (index === placer ? epoch : other)),
  });

  const takes = (state: State, placer: number): Step<State>[] => {
    const before = tenure(state);
    const isOwn = before?.holder.incarnation === holder(placer).incarnation;
    const isVacant = before === undefined;
    if (isOwn || (!isVacant && !(state.frozen && placer === 1))) return [];
    const reason = isVacant ? TakeoverReason.Vacant : TakeoverReason.Silent;
    const expected = before?.epoch ?? 0;
    const taken = { ...state, log: [...state.log, take(placer, expected, reason)] };
    const next = believing(taken, placer, tenure(taken)?.epoch ?? 0);
    return [{ name: `${placer} takes the role (${reason})`, next }];
  };

  /** The new placer fences the target and reads its report before it decides. */
  const mayOrder = (state: State, placer: number): boolean => {
    if (state.believes[placer] === 0 || state.ordered[placer]) return false;
    if (placer === 0) return true;
    const unproved = tenure(state)?.unproved ?? [];
    if (!isFencing && has('freezing') && unproved.length > 0) return false;
    return state.loads.length === 0;
  };

  const orders = (state: State, placer: number): Step<State>[] => {
    if (!mayOrder(state, placer) || (placer === 0 && state.frozen)) return [];
    const order = { placer, fencing: state.believes[placer] };
    const ordered = state.ordered.map((other, index) => other || index === placer);
    const highestFencing = Math.max(state.highestFencing, placer === 1 ? order.fencing : 0);
    const next = { ...state, ordered, highestFencing, underWay: [...state.underWay, order] };
    return [{ name: `${placer} sends a load`, next }];
  };

  /** The earlier holder reads the log, and nothing of it is on its way: it is harmless. */
  const clears = (state: State): Step<State>[] => {
    const unproved = tenure(state)?.unproved ?? [];
    const isHarmless = !state.frozen && !state.underWay.some(({ placer }) => placer === 0);
    if (unproved.length === 0 || !isHarmless) return [];
    const body = {
      kind: RoleRecordKind.Clear,
      role: ROLE,
      incarnation: unproved[0].incarnation,
    };
    const log = [...state.log, { id: `clear-${state.log.length}`, body }];
    const next = believing({ ...state, log }, 0, 0);
    return [{ name: '0 is known to be harmless', next }];
  };

  return {
    name: isFencing ? 'placer, target checks fencing' : 'placer, target ignores fencing',
    initial: {
      log: [],
      underWay: [],
      ordered: [false, false],
      frozen: false,
      believes: [0, 0],
      highestFencing: 0,
      loads: [],
    },
    steps: (state) => [
      ...arrivals(state),
      ...[0, 1].flatMap((placer) => [...takes(state, placer), ...orders(state, placer)]),
      ...clears(state),
      ...(state.frozen ? [] : [{ name: '0 freezes', next: { ...state, frozen: true } }]),
      ...(state.frozen ? [{ name: '0 goes on', next: { ...state, frozen: false } }] : []),
    ],
    broken: (state) =>
      state.loads.length > 1 ? "a target's memory is never overcommitted" : undefined,
  };
};

export default placerSpec;
