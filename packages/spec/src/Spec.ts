import type Step from './Step';

/** A protocol as a set of states and steps, with invariants that every reached state must keep. */
interface Spec<S> {
  readonly name: string;
  readonly initial: S;
  /** Steps that may be taken from a state, in any order. */
  steps(state: S): readonly Step<S>[];
  /** Names the invariant that a state breaks; undefined if it keeps them all. */
  brokenInvariant(state: S): string | undefined;
}

export default Spec;
