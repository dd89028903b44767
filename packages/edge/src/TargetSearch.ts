/** What bounds the search of a request for a target. Times are on the monotonic clock. */
interface TargetSearch {
  /** Targets that are not chosen, with the time until which they are excluded. */
  readonly excluded: ReadonlyMap<string, number>;
  /** Time at which the search ends. */
  readonly untilMs: number;
  /** Time at which the caller leaves if nothing has come until then. */
  readonly leavesAtMs: number;
  /** Whether it is for the rest of a stream that has begun, which is sent also when a stop sends no new requests any more. */
  readonly hasBegun: boolean;
  /** Whether the request must not be sent any more, no matter which targets are available. */
  readonly isOver: () => boolean;
  /** Whether only targets are chosen that another can replace; false where absent. */
  readonly needsSpare?: () => boolean;
}

export default TargetSearch;
