/** The values that this system adds to the headers of a request to a target. */
interface TargetHeaderInput {
  readonly targetId: string;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /** Name of the workspace; `null` if the request belongs to none. */
  readonly workspace: string | null;
  /** 0 is the highest priority, 9 the lowest. */
  readonly priority: number;
  /** Id of the last event that the caller has received; `null` unless a stream is resumed. */
  readonly resumeAfterEventId: string | null;
}

export default TargetHeaderInput;
