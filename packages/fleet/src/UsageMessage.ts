/** A part of what an instance counted in one window, sent to the holder of the usage duty. */
interface UsageMessage {
  /** Name of the instance. */
  readonly instance: string;
  readonly incarnation: string;
  readonly window: number;
  /** Number of this part, from 0, of as many as `parts`. */
  readonly part: number;
  readonly parts: number;
  /** Requests by workspace. */
  readonly rows: readonly (readonly [string, number])[];
}

export default UsageMessage;
