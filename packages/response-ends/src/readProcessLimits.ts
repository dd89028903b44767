import { getHeapStatistics } from 'node:v8';
import type ProcessLimits from './ProcessLimits';
import readDescriptorLimit from './readDescriptorLimit';

/**
 * Returns what this process may use, on a machine that gives it so much memory.
 *
 * @example
 * readProcessLimits(367_001_600); // { memoryBytes: 367001600, heapBytes: 173015040, descriptors: 20000 }
 */
const readProcessLimits = (memoryBytes: number): ProcessLimits => ({
  memoryBytes,
  heapBytes: getHeapStatistics().heap_size_limit,
  descriptors: readDescriptorLimit(),
});

export default readProcessLimits;
