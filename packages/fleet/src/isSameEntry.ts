import type RegisteredTarget from './RegisteredTarget';

/** What of an entry tells something new: its number changes each time, and the cold time left runs down. */
const contentOf = ({
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
 * Whether an entry says the same as another, but for how much longer the target stays cold.
 *
 * @example
 * isSameEntry(entry, { ...entry, entryNumber: entry.entryNumber + 1 }); // true
 */
const isSameEntry = (one: RegisteredTarget, other: RegisteredTarget | undefined): boolean =>
  other !== undefined && contentOf(one) === contentOf(other);

export default isSameEntry;
