/** Longer than the age of any copy from which the store comes back, in ms; the platform says some seconds. */
const maxCopyAgeMs = 60_000;

export default maxCopyAgeMs;
