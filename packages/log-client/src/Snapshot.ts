/** The serialized state of a stream. */
interface Snapshot {
  readonly nextOffset: number;
  /** SHA-256 of `text`, hexadecimal. */
  readonly sha256: string;
  readonly text: string;
}

export default Snapshot;
