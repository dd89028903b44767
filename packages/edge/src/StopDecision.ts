import type DurationSource from './DurationSource';

/** Whether a request is served during a stop, and why. */
interface StopDecision {
  readonly isServed: boolean;
  /** Whether it is served only if it surely ends in time, as another instance serves its caller else. */
  readonly mustBeCertain: boolean;
  /** How long the request, or the rest of its stream, is expected to take; if it must be certain, at worst. */
  readonly expectedMs: number;
  /** What is left until requests in progress are broken off; Infinity if no stop has begun. */
  readonly leftMs: number;
  readonly source: DurationSource;
}

export default StopDecision;
