import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import type { DesiredState, PathRoute, WorkspaceSpec } from '@wisteriapath/fleet';
import type RequestFields from './RequestFields';
import matchRoute from './matchRoute';
import workspaceOfKey from './workspaceOfKey';

interface Allowed {
  readonly route: PathRoute;
  /** The workspace that owns the key; `null` if the key is unknown and none is needed. */
  readonly workspace: WorkspaceSpec | null;
}

/**
 * Returns the route and the workspace of a request, or the error if the desired state does not allow it.
 *
 * @example
 * authorize(state, fields, '/guide/7').map(({ route }) => route.name);
 */
const authorize = (
  state: DesiredState,
  { host, key }: Pick<RequestFields, 'host' | 'key'>,
  path: string,
): Either<ServeError, Allowed> => {
  const route = matchRoute(state.routes, host, path);
  if (route === undefined) {
    return Left(ServeError.notExecuted(ErrorKind.UnknownRoute, 'no route matches'));
  }
  const workspace = workspaceOfKey(state, key);
  if (state.workspaces !== null && !route.open && workspace === null) {
    return Left(ServeError.notExecuted(ErrorKind.Unauthenticated, 'the key is unknown'));
  }
  return Right({ route, workspace });
};

export default authorize;
