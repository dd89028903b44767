import { getRow } from '@wisteriapath/config';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, type Pool, type Route, ServeError, TableName } from '@wisteriapath/model';
import type Caller from './Caller';
import type CheckedCall from './CheckedCall';
import type ConfigView from './ConfigView';
import authenticate from './authenticate';

const findRoute = (view: ConfigView, name: string): Either<ServeError, Route> => {
  const row = getRow(view.state, TableName.Routes, name);
  if (row !== undefined) return Right(row.value);
  return Left(ServeError.notExecuted(ErrorKind.UnknownRoute, `there is no route ${name}`));
};

const findPool = (view: ConfigView, route: Route): Either<ServeError, Pool> => {
  const row = getRow(view.state, TableName.Pools, route.pool);
  if (row !== undefined) return Right(row.value);
  const message = `the route's pool ${route.pool} does not exist`;
  return Left(ServeError.notExecuted(ErrorKind.RouteIncomplete, message));
};

const authorize = (route: Route, caller: Caller): Either<ServeError, Caller> => {
  if (route.open) return Right(caller);
  if (caller.workspace !== null && route.workspaces.includes(caller.workspace)) {
    return Right(caller);
  }
  return Left(ServeError.notExecuted(ErrorKind.Forbidden, 'the key may not call this route'));
};

/**
 * Authenticates and authorizes a call against the configuration. Called on arrival and again just
 * before dispatch, since keys, routes and pools may have changed during the wait.
 *
 * @example
 * checkCall(view, 'cup-guide', sha256Hex(secret)).map((call) => call.pool.targets);
 */
const checkCall = (
  view: ConfigView,
  routeName: string,
  keySha256: string | null,
): Either<ServeError, CheckedCall> =>
  findRoute(view, routeName).chain((route) =>
    authenticate(view, route, keySha256)
      .chain((caller) => authorize(route, caller))
      .chain((caller) => findPool(view, route).map((pool) => ({ caller, routeName, route, pool }))),
  );

export default checkCall;
