/** The result of an exhaustive search through the states of a specification. */
interface Exploration {
  /** Number of distinct states found. */
  readonly states: number;
  /** False if the search stopped early: at a broken invariant or at the limit on states. */
  readonly complete: boolean;
  /**
   * The broken invariant and a shortest sequence of steps that leads to it; null if none was found.
   */
  readonly counterexample: { readonly invariant: string; readonly steps: readonly string[] } | null;
}

export default Exploration;
