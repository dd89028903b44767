import type { RegisteredTarget } from '@wisteriapath/fleet';

/**
 * Returns an entry with the times that are left now; those that it states are counted from when it was written.
 *
 * @example
 * subtractAge({ ...entry, coldLeftMs: 900 }, 300).coldLeftMs; // 600
 */
const subtractAge = (entry: RegisteredTarget, ageMs: number): RegisteredTarget => {
  const coldLeftMs = Math.max(0, entry.coldLeftMs - ageMs);
  const { remainingMs } = entry;
  if (typeof remainingMs !== 'number') return { ...entry, coldLeftMs };
  return { ...entry, coldLeftMs, remainingMs: Math.max(0, remainingMs - ageMs) };
};

export default subtractAge;
