import { collectGarbage } from '@wisteriapath/byte-accumulator';
import type GivenUpBody from './GivenUpBody';
import MemoryBudget from './MemoryBudget';

/** Fraction of the process's memory for the bodies that it holds. */
const BODY_MEMORY_FRACTION = 0.2;

/**
 * Creates the memory budget for the bodies of a process.
 *
 * @example
 * createBodyMemory(367_001_600, ({ bytes }) => log.event('memory_given_up', { bytes })).heldBytes; // 0
 */
const createBodyMemory = (
  memoryLimitBytes: number,
  onGivenUp: (body: GivenUpBody) => void,
): MemoryBudget =>
  new MemoryBudget(memoryLimitBytes * BODY_MEMORY_FRACTION, onGivenUp, () =>
    collectGarbage('major'),
  );

export default createBodyMemory;
