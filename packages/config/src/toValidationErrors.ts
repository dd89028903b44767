import type { z } from 'zod';
import type ValidationError from './ValidationError';

type Issue = z.core.$ZodIssue;

const toSnakeCase = (key: string): string =>
  key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);

const formatReason = (issue: Issue): string => {
  if (issue.code === 'unrecognized_keys') return 'is not known';
  if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) {
    return 'is required';
  }
  if (issue.code === 'invalid_type' && issue.message.endsWith('received NaN')) {
    return 'must be a number';
  }
  return issue.message;
};

const formatKeys = (issue: Issue, path: readonly string[]): string[] =>
  issue.code === 'unrecognized_keys'
    ? issue.keys.map((key) => [...path, key].join('.'))
    : [path.join('.')];

/**
 * Converts an issue of a schema into validation errors, one for each key. `splitPath` splits the
 * path of the issue into section and key.
 *
 * @example
 * issues.flatMap((issue) => toValidationErrors(file, issue, (path) => ({ section, path })));
 */
const toValidationErrors = (
  file: string,
  issue: Issue,
  splitPath: (path: readonly string[]) => {
    readonly section: string;
    readonly path: readonly string[];
  },
): ValidationError[] => {
  const { section, path } = splitPath(issue.path.map(String));
  const reason = formatReason(issue);
  return formatKeys(issue, path).map((key) => ({ file, section, key: toSnakeCase(key), reason }));
};

export default toValidationErrors;
