type Models = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns whether two engines hold the same models and adapters.
 *
 * @example
 * hasSameModels(new Map([['a', new Set(['a1'])]]), new Map([['a', new Set()]])); // false
 */
const hasSameModels = (one: Models, other: Models): boolean =>
  one.size === other.size &&
  [...one].every(([model, adapters]) => {
    const known = other.get(model);
    return known?.size === adapters.size && [...adapters].every((adapter) => known.has(adapter));
  });

export default hasSameModels;
