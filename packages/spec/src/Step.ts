/** A transition of a protocol to its next state. */
interface Step<S> {
  readonly name: string;
  readonly next: S;
}

export default Step;
