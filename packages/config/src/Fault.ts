/** One fault of an input, told so that its writer can find it. */
interface Fault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly reason: string;
}

export default Fault;
