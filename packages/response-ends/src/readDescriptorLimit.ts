import { readFileSync } from 'node:fs';

const LIMITS_PATH = '/proc/self/limits';
const OPEN_FILES = /^Max open files\s+(\d+)/m;

/**
 * Returns the number of descriptors that this process may have open; Infinity if the system does not say.
 *
 * @example
 * readDescriptorLimit(); // 20000
 */
const readDescriptorLimit = (): number => {
  try {
    const [, limit] = OPEN_FILES.exec(readFileSync(LIMITS_PATH, 'utf8')) ?? [];
    return limit === undefined ? Infinity : Number(limit);
  } catch {
    return Infinity;
  }
};

export default readDescriptorLimit;
