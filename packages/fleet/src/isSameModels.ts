type Models = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Whether two engines hold the same models and adapters.
 *
 * @example
 * isSameModels(new Map([['a', new Set(['a1'])]]), new Map([['a', new Set()]])); // false
 */
const isSameModels = (one: Models, other: Models): boolean =>
  one.size === other.size &&
  [...one].every(([model, adapters]) => {
    const known = other.get(model);
    return known?.size === adapters.size && [...adapters].every((adapter) => known.has(adapter));
  });

export default isSameModels;
