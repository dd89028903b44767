/** Something that an instance held to be true, since when. */
interface Belief {
  readonly text: string;
  readonly sinceMs: number;
}

export default Belief;
