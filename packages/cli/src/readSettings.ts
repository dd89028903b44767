import { readFileSync } from 'node:fs';
import { formatFault, parseSettings, type Settings } from '@wisteriapath/config';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

/**
 * Reads and checks a settings file. Every fault is reported at once.
 *
 * @example
 * const settings = readSettings('entry.ini');
 */
const readSettings = (file: string): Settings => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new CommandError(`${file}: ${(error as Error).message}`, ExitCode.Usage);
  }
  return parseSettings(file, text).caseOf({
    Left: (faults) => {
      throw new CommandError(faults.map(formatFault).join('\n'), ExitCode.Usage);
    },
    Right: (settings) => settings,
  });
};

export default readSettings;
