import type Sighting from './Sighting';

/**
 * Returns the crashes of which each request was sent after the crash before: what ends many targets at once counts
 * once.
 *
 * @example
 * successiveCrashes(sightings).length; // how often a trait was tried and its target crashed
 */
const successiveCrashes = (sightings: readonly Sighting[]): readonly Sighting[] => {
  const inOrder = [...sightings].sort((one, other) => one.crashedAtMs - other.crashedAtMs);
  let lastMs = -Infinity;
  return inOrder.filter(({ crashedAtMs, sentAtMs }) => {
    if (sentAtMs < lastMs) return false;
    lastMs = crashedAtMs;
    return true;
  });
};

export default successiveCrashes;
