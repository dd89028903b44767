import type RegisteredTarget from './RegisteredTarget';

/**
 * Returns whether an engine has a copy of a model in host memory or on disk, from which a load is short.
 *
 * @example
 * hasCopy(view.entry, 'llama');
 */
const hasCopy = ({ inMemory, onDisk }: RegisteredTarget, model: string): boolean =>
  inMemory.has(model) || onDisk.has(model);

export default hasCopy;
