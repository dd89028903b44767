import { createReadStream, existsSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { formatStory, readStory } from '@wisteriapath/trace';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

/**
 * Prints the story of one request from log files.
 *
 * @example
 * await trace('4f1c', ['a1.log', 'b1.log']);
 */
const trace = async (request: string, files: readonly string[]): Promise<void> => {
  const missing = files.find((file) => !existsSync(file));
  if (missing !== undefined) {
    throw new CommandError(`trace: no file ${missing}`, ExitCode.Usage);
  }
  const sources = files.map((file) => () => createInterface({ input: createReadStream(file) }));
  process.stdout.write(formatStory(request, await readStory(request, sources)));
};

export default trace;
