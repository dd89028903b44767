import type RegisteredTarget from './RegisteredTarget';

/**
 * Serializes the content of an entry. Leaves out its number, which changes each time, and reduces the times that run
 * down to whether the target is cold, and whether its end is known.
 */
const serializeContent = ({
  entryNumber: _,
  coldLeftMs,
  remainingMs,
  models,
  inMemory,
  onDisk,
  ...rest
}: RegisteredTarget): string =>
  JSON.stringify([
    rest,
    coldLeftMs > 0,
    typeof remainingMs === 'number',
    [...models].map(([model, adapters]) => [model, [...adapters]]),
    [...inMemory],
    [...onDisk],
  ]);

/**
 * Returns whether two entries have the same content, apart from their numbers and the times that run down.
 *
 * @example
 * isSameEntry(entry, { ...entry, entryNumber: entry.entryNumber + 1 }); // true
 */
const isSameEntry = (one: RegisteredTarget, other: RegisteredTarget | undefined): boolean =>
  other !== undefined && serializeContent(one) === serializeContent(other);

export default isSameEntry;
