import { type Either, Left, Right } from 'purify-ts';
import type { TableName } from '@wisteriapath/model';
import type ValidationError from './ValidationError';
import toValidationErrors from './toValidationErrors';
import rowName from './rowName';
import rowSchemas from './rowSchemas';

/**
 * Validates a row and fills in its defaults. `source` is the file or address that it came from.
 *
 * @example
 * parseRow('routes.ini', TableName.Routes, 'cup-guide', value).ifLeft(report);
 */
const parseRow = (
  source: string,
  table: TableName,
  name: string,
  value: unknown,
): Either<ValidationError[], unknown> => {
  const parsedName = rowName.safeParse(name);
  if (!parsedName.success) {
    const reason = `name ${parsedName.error.issues[0].message}`;
    return Left([{ file: source, section: name, key: '', reason }]);
  }
  const parsed = rowSchemas[table].safeParse(value);
  if (parsed.success) return Right(parsed.data);
  return Left(
    parsed.error.issues.flatMap((issue) =>
      toValidationErrors(source, issue, (path) => ({ section: name, path })),
    ),
  );
};

export default parseRow;
