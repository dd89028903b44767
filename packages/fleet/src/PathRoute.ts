import type RouteSemantics from './RouteSemantics';

/** A route selected by host and path prefix. */
interface PathRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly semantics: RouteSemantics;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer meets the service level objective. */
  readonly latencyTargetMs: number;
  /** Longest gap between events with which a stream meets the service level objective; 0 if not specified. */
  readonly gapTargetMs: number;
  /** Maximum number of targets on which one attempt of a caller may run. */
  readonly attempts: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly open: boolean;
  /** Whether a broken stream may be resumed at another target. */
  readonly resumable: boolean;
  /** Pools that share the traffic in proportion to their weights. */
  readonly pools: readonly { readonly name: string; readonly weight: number }[];
}

export default PathRoute;
