/** What the system itself tells a target about a request. */
interface TargetHeaderInput {
  readonly targetId: string;
  /** Time left for the request. */
  readonly remainingMs: number;
  /** `null` on open routes. */
  readonly workspace: string | null;
  /** 0 is first, 9 last. */
  readonly priority: number;
  /** Id of the last event that the caller has; `null` unless a stream goes on. */
  readonly resumeAfterEventId: string | null;
}

export default TargetHeaderInput;
