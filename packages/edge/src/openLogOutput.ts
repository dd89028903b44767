import { constants, fstatSync, openSync } from 'node:fs';

const STDOUT = 1;

/**
 * Returns a descriptor of standard output. If that is a pipe, a write to it fails with EAGAIN while the pipe is full, where
 * a write to the inherited descriptor would occupy a thread that the process waits for when it exits.
 *
 * @example
 * const output = openLogOutput();
 */
const openLogOutput = (): number => {
  try {
    if (!fstatSync(STDOUT).isFIFO()) return STDOUT;
    return openSync(`/proc/self/fd/${STDOUT}`, constants.O_WRONLY + constants.O_NONBLOCK);
  } catch {
    return STDOUT;
  }
};

export default openLogOutput;
