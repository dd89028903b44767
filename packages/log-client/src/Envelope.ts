/** The payload of a record: a body under a unique id, or the cancellation of another record. */
interface Envelope {
  readonly id: string;
  /** Id of the cancelled record, which has no effect if it comes later in the log. */
  readonly cancels?: string;
  readonly body?: unknown;
}

export default Envelope;
