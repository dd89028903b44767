import type EngineSpec from './EngineSpec';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';

/**
 * Returns the models that no engine has loaded or has a copy of.
 *
 * @example
 * modelsWithoutCopy(engine, table.inService('guides'));
 */
const modelsWithoutCopy = (
  { models }: EngineSpec,
  views: readonly TargetView[],
): readonly ModelSpec[] => {
  const withCopy = new Set(
    views.flatMap((view) => [...view.entry.inMemory, ...view.entry.onDisk, ...view.models.keys()]),
  );
  return [...models.values()].filter(({ name }) => !withCopy.has(name));
};

export default modelsWithoutCopy;
