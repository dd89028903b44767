/** A record's payload: a body under a unique id, or the cancel of another record's id. */
interface Envelope {
  readonly id: string;
  /** Id of the record that must not take effect if it comes later in the log. */
  readonly cancels?: string;
  readonly body?: unknown;
}

export default Envelope;
