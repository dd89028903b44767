import type EngineSpeeds from './EngineSpeeds';
import type TargetView from './TargetView';

const countByModel = (views: readonly TargetView[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  views.forEach(({ models }) =>
    models.forEach((_, model) => counts.set(model, (counts.get(model) ?? 0) + 1)),
  );
  return counts;
};

/**
 * Returns a function that tells whether a model on an engine has a replica elsewhere that can take its place. One on an engine that
 * breaks the gap target cannot, if any other holder keeps it: otherwise a replica made for its speed would be the first to be evicted.
 *
 * @example
 * const isSpare = findSpareReplicas(views, speeds);
 */
const findSpareReplicas = (
  views: readonly TargetView[],
  speeds: EngineSpeeds | undefined,
): ((engine: string, model: string) => boolean) => {
  const breaksGap = (id: string): boolean => speeds?.breaksGap(id) ?? false;
  const all = countByModel(views);
  const keeping =
    speeds === undefined ? all : countByModel(views.filter(({ entry }) => !breaksGap(entry.id)));
  return (engine, model) => {
    const others = (keeping.get(model) ?? 0) - (breaksGap(engine) ? 0 : 1);
    return keeping.has(model) ? others > 0 : (all.get(model) ?? 1) > 1;
  };
};

export default findSpareReplicas;
