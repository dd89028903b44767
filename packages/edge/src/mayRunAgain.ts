import { type PathRoute, RouteSemantics } from '@wisteriapath/fleet';

/**
 * Whether a request of a route may run more than once: it is idempotent, or a stream that may be resumed.
 *
 * @example
 * mayRunAgain({ semantics: RouteSemantics.Stream, resumable: true }); // true
 */
const mayRunAgain = ({
  semantics,
  resumable,
}: Pick<PathRoute, 'semantics' | 'resumable'>): boolean =>
  semantics === RouteSemantics.Idempotent || (semantics === RouteSemantics.Stream && resumable);

export default mayRunAgain;
