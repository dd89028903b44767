import { findWorkspaceKey } from '@wisteriapath/config';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, type Route, ServeError } from '@wisteriapath/model';
import type Caller from './Caller';
import type ConfigView from './ConfigView';

const SECOND_MS = 1_000;

/**
 * Authenticates the caller of a route by the hash of its key's secret. Revoked keys are unknown.
 * Known keys are refused if the view of the configuration is older than the route allows.
 *
 * @example
 * authenticate(view, route, sha256Hex(secret)).map((caller) => caller.workspace);
 */
const authenticate = (
  view: ConfigView,
  route: Route,
  keySha256: string | null,
): Either<ServeError, Caller> => {
  const key = keySha256 === null ? undefined : findWorkspaceKey(view.state, keySha256);
  if (key === undefined) {
    if (route.open) return Right({ workspace: null, keySha256: null });
    const message = keySha256 === null ? 'a key is required' : 'the key is not known';
    return Left(ServeError.notExecuted(ErrorKind.Unauthenticated, message));
  }
  if (!route.open && view.ageMs > route.staleKeysLimitS * SECOND_MS) {
    const message = 'keys cannot be checked: the configuration is out of date';
    return Left(ServeError.notExecuted(ErrorKind.KeysStale, message));
  }
  return Right({ workspace: key.workspace, keySha256 });
};

export default authenticate;
