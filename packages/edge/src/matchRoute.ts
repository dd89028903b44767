import type { PathRoute } from '@wisteriapath/fleet';

/**
 * Returns the route of a host with the longest path prefix that matches a request target.
 *
 * @example
 * matchRoute(state.routes, 'cups.example', '/guide/7?x=1');
 */
const matchRoute = (
  routes: readonly PathRoute[],
  host: string,
  requestTarget: string,
): PathRoute | undefined => {
  const path = requestTarget.split('?', 1)[0];
  let best: PathRoute | undefined;
  routes.forEach((route) => {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) return;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  });
  return best;
};

export default matchRoute;
