/** Result of folding one record body. */
interface FoldStep<S> {
  readonly state: S;
  /** Whether the precondition of the record held. If false, `state` is unchanged. */
  readonly accepted: boolean;
}

export default FoldStep;
