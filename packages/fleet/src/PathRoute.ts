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
  /** Time within which an answer has its full worth. */
  readonly latencyTargetMs: number;
  /** Longest pause between events for which a stream has its full worth; 0 if not stated. */
  readonly gapTargetMs: number;
  /** Most targets on which one attempt of a caller may run. */
  readonly attempts: number;
  /** 0 is first. */
  readonly priority: number;
  /** Open routes need no key. */
  readonly open: boolean;
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean;
  readonly pools: readonly { readonly name: string; readonly weight: number }[];
}

export default PathRoute;
