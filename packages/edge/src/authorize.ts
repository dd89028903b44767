import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import type { DesiredState, PathRoute, WorkspaceSpec } from '@wisteriapath/fleet';
import type RequestFields from './RequestFields';
import matchRoute from './matchRoute';
import workspaceOfKey from './workspaceOfKey';

interface Allowed {
  readonly route: PathRoute;
  /** The workspace that holds the key; `null` where the route needs none. */
  readonly workspace: WorkspaceSpec | null;
}

/**
 * What a desired state allows a caller to ask for at a path.
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
    return Left(ServeError.notRun(ErrorKind.UnknownRoute, 'no route matches'));
  }
  const workspace = workspaceOfKey(state, key);
  if (state.workspaces !== null && !route.open && workspace === null) {
    return Left(ServeError.notRun(ErrorKind.Unauthenticated, 'the key is unknown'));
  }
  return Right({ route, workspace });
};

export default authorize;
