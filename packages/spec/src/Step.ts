/** One step of a protocol. */
interface Step<S> {
  readonly name: string;
  readonly next: S;
}

export default Step;
