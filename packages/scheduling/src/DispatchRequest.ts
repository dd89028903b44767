/** A request that waits for a place at a target. Times are on the monotonic clock. */
interface DispatchRequest {
  /** 0 is the highest. */
  readonly priority: number;
  readonly latencyTargetMs: number;
  readonly sinceMs: number;
  /** When its caller no longer takes an answer, or abandons the stream if no event has come. */
  readonly leavesAtMs: number;
  readonly workspace: string;
  /** Work of the request, by which workspaces are served fairly. */
  readonly tokens: number;
  /** What it needs: where one request finds no place, no other with the same need finds one. `null` if that cannot be told. */
  readonly need: string | null;
  /** Whether it must not be started any more. */
  readonly isOver: () => boolean;
  /** Takes a place; returns false if there is none. */
  readonly tryStart: () => boolean;
}

export default DispatchRequest;
