import { createReadStream, existsSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { formatTrace, readTrace } from '@wisteriapath/trace';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

/**
 * Prints the trace of one request from log files.
 *
 * @example
 * await trace('4f1c', ['a1.log', 'b1.log']);
 */
const trace = async (request: string, files: readonly string[]): Promise<void> => {
  const missingFile = files.find((file) => !existsSync(file));
  if (missingFile !== undefined) {
    throw new CommandError(`trace: no file ${missingFile}`, ExitCode.UsageError);
  }
  const sources = files.map((file) => () => createInterface({ input: createReadStream(file) }));
  process.stdout.write(formatTrace(request, await readTrace(request, sources)));
};

export default trace;
