import type RegisteredTarget from './RegisteredTarget';

/**
 * Serializes the content of an entry. Leaves out its number, which changes each time, and reduces the remaining cold
 * time, which runs down, to whether the target is cold.
 */
const serializeContent = ({
  entryNumber: _,
  coldLeftMs,
  models,
  inMemory,
  onDisk,
  ...rest
}: RegisteredTarget): string =>
  JSON.stringify([
    rest,
    coldLeftMs > 0,
    [...models].map(([model, adapters]) => [model, [...adapters]]),
    [...inMemory],
    [...onDisk],
  ]);

/**
 * Returns whether two entries have the same content, apart from their numbers and the remaining cold time.
 *
 * @example
 * isSameEntry(entry, { ...entry, entryNumber: entry.entryNumber + 1 }); // true
 */
const isSameEntry = (one: RegisteredTarget, other: RegisteredTarget | undefined): boolean =>
  other !== undefined && serializeContent(one) === serializeContent(other);

export default isSameEntry;
