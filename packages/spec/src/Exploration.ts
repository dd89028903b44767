/** Result of a search. */
interface Exploration {
  readonly states: number;
  /** False if the bound on states was reached first. */
  readonly complete: boolean;
  /** The broken invariant and the steps that lead to it, if any. */
  readonly counterexample: { readonly invariant: string; readonly steps: readonly string[] } | null;
}

export default Exploration;
