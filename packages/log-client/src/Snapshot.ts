/** A fold as text, with the hash that the text must have. */
interface Snapshot {
  readonly nextOffset: number;
  readonly sha256: string;
  readonly text: string;
}

export default Snapshot;
