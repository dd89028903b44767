import { readFileSync } from 'node:fs';
import { formatValidationError, parseSettings, type Settings } from '@wisteriapath/config';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

/**
 * Reads and validates a settings file. The `CommandError` that it throws lists all faults of the file.
 *
 * @example
 * const settings = readSettings('entry.ini');
 */
const readSettings = (file: string): Settings => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new CommandError(`${file}: ${(error as Error).message}`, ExitCode.UsageError);
  }
  return parseSettings(file, text).caseOf({
    Left: (faults) => {
      throw new CommandError(faults.map(formatValidationError).join('\n'), ExitCode.UsageError);
    },
    Right: (settings) => settings,
  });
};

export default readSettings;
