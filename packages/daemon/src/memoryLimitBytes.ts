import type { Settings } from '@wisteriapath/config';

const BYTES_PER_MB = 1_048_576;

/**
 * Returns the memory that a process may use.
 *
 * @example
 * memoryLimitBytes(settings); // 536870912
 */
const memoryLimitBytes = ({ instance }: Pick<Settings, 'instance'>): number =>
  instance.memory_mb * BYTES_PER_MB;

export default memoryLimitBytes;
