import { collectGarbage } from '@wisteriapath/byte-accumulator';
import type { EventLog } from '@wisteriapath/fleet';
import MemoryBudget from './MemoryBudget';

/** Fraction of the process's memory for the bodies that it holds. */
const BODY_MEMORY_FRACTION = 0.2;

/**
 * Creates the memory budget for the bodies of a process.
 *
 * @example
 * createMemoryBudget(367_001_600, log).heldBytes; // 0
 */
const createMemoryBudget = (memoryLimitBytes: number, log: EventLog): MemoryBudget =>
  new MemoryBudget(memoryLimitBytes * BODY_MEMORY_FRACTION, log, () => collectGarbage('major'));

export default createMemoryBudget;
