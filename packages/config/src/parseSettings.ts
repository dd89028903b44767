import { parse } from 'ini';
import { type Either, Left, Right } from 'purify-ts';
import type ValidationError from './ValidationError';
import type Settings from './Settings';
import toValidationErrors from './toValidationErrors';
import settingsSchema from './settingsSchema';

/**
 * Parses and validates settings in INI format. Returns all errors at once.
 *
 * @example
 * parseSettings('entry.ini', text).map((settings) => settings.instance.name);
 */
const parseSettings = (file: string, text: string): Either<ValidationError[], Settings> => {
  const parsed = settingsSchema.safeParse(JSON.parse(JSON.stringify(parse(text))));
  if (parsed.success) return Right(parsed.data);
  return Left(
    parsed.error.issues.flatMap((issue) =>
      toValidationErrors(file, issue, ([section = '', ...path]) => ({ section, path })),
    ),
  );
};

export default parseSettings;
