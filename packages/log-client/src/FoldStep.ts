/** Result of folding one record body. */
interface FoldStep<S> {
  readonly state: S;
  /** False if the record's precondition did not hold; `state` is then unchanged. */
  readonly accepted: boolean;
}

export default FoldStep;
