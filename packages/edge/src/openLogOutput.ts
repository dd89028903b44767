import { constants, fstatSync, openSync } from 'node:fs';
import type LogOutput from './LogOutput';
import NonBlockingOutput from './NonBlockingOutput';
import PoolOutput from './PoolOutput';
import SocketOutput from './SocketOutput';

const STDOUT = 1;
/** Folder in which Linux lists the descriptors of a process. */
const DESCRIPTORS_FOLDER = '/proc/self/fd';
const { O_WRONLY, O_NONBLOCK, O_NOCTTY } = constants;

/** Opens a pipe or a device once more, so that whoever shares the descriptor keeps it as it is. */
const openAgain = (descriptor: number, folder: string): LogOutput => {
  const again = openSync(`${folder}/${descriptor}`, O_WRONLY + O_NONBLOCK + O_NOCTTY);
  return new NonBlockingOutput(again);
};

/** Returns what the first of some functions returns that doesn't throw; undefined if all throw. */
const firstOf = <T>(functions: readonly (() => T)[]): T | undefined => {
  for (const open of functions) {
    try {
      return open();
    } catch {
      // The next function is for what this one can't do.
    }
  }
  return undefined;
};

/** Returns whether the writes to a descriptor can be non-blocking. */
const canBeNonBlocking = (descriptor: number): boolean => {
  try {
    return !fstatSync(descriptor).isFile();
  } catch {
    return false;
  }
};

/**
 * Returns an output to a descriptor, by default standard output, that blocks neither the event loop nor, as far as the kind
 * of descriptor allows it, a thread of the pool, for which the process waits when it exits.
 *
 * @example
 * const output = openLogOutput();
 */
const openLogOutput = (descriptor = STDOUT, folder = DESCRIPTORS_FOLDER): LogOutput => {
  if (!canBeNonBlocking(descriptor)) return new PoolOutput(descriptor);
  const output = firstOf<LogOutput>([
    () => openAgain(descriptor, folder),
    () => new SocketOutput(descriptor),
  ]);
  return output ?? new PoolOutput(descriptor);
};

export default openLogOutput;
