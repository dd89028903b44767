import type RegisteredTarget from './RegisteredTarget';

/**
 * Returns the latest start of the targets at each address. Only that one can be there still: the entries of those before it have not
 * lapsed yet.
 *
 * @example
 * newestStarts(entries).get('10.0.0.1:9000');
 */
const newestStarts = (
  entries: readonly Pick<RegisteredTarget, 'address' | 'bornMs'>[],
): ReadonlyMap<string, number> => {
  const startsMs = new Map<string, number>();
  entries.forEach(({ address, bornMs }) =>
    startsMs.set(address, Math.max(bornMs, startsMs.get(address) ?? -Infinity)),
  );
  return startsMs;
};

export default newestStarts;
