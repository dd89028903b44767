import type Step from './Step';

/** A protocol as a transition system, with invariants that every reachable state must satisfy. */
interface Spec<S> {
  readonly name: string;
  readonly initial: S;
  /** Returns the steps that are possible in a state; their order has no meaning. */
  steps(state: S): readonly Step<S>[];
  /** Returns the name of the invariant that a state breaks, or undefined if all hold. */
  brokenInvariant(state: S): string | undefined;
}

export default Spec;
