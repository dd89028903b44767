import type { Route } from '@wisteriapath/model';
import type Asset from './Asset';

/**
 * Returns the assets that an engine must have loaded to serve a route, model first; empty for
 * services.
 *
 * @example
 * assetsOf(route).map((asset) => asset.id); // ['cups-7b', 'cups-7b/silver']
 */
const assetsOf = (route: Route): readonly Asset[] => {
  if (route.model === '') return [];
  const base = { id: route.model, sizeMb: route.modelMb };
  if (route.adapter === null) return [base];
  return [base, { id: `${route.model}/${route.adapter}`, sizeMb: route.adapterMb }];
};

export default assetsOf;
