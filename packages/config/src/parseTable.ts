import { parse } from 'ini';
import { type Either, Left, Right } from 'purify-ts';
import { TableName } from '@wisteriapath/model';
import type ValidationError from './ValidationError';
import convertIniSection from './convertIniSection';
import parseRow from './parseRow';

type Section = Record<string, unknown>;

const isSection = (value: unknown): value is Section =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Converts a section of the pools table. Sections `[POOL.TARGET]` are the targets of `[POOL]`. */
const convertPoolSection = (section: Section): Section => ({
  ...convertIniSection(section),
  targets: Object.fromEntries(
    Object.entries(section)
      .filter(([, value]) => isSection(value))
      .map(([name, value]) => [name, convertIniSection(value as Section)]),
  ),
});

const findNestedSections = (file: string, name: string, section: Section): ValidationError[] =>
  Object.entries(section)
    .filter(([, value]) => isSection(value))
    .map(([key]) => ({ file, section: `${name}.${key}`, key: '', reason: 'unexpected section' }));

const findDuplicateSections = (file: string, text: string): ValidationError[] => {
  const seen = new Set<string>();
  const errors: ValidationError[] = [];
  [...text.matchAll(/^\s*\[([^\]]*)\]/gm)].forEach(([, section]) => {
    if (seen.has(section)) errors.push({ file, section, key: '', reason: 'is repeated' });
    seen.add(section);
  });
  return errors;
};

/**
 * Parses and validates a table in INI format, with one section for each row. Returns all errors at
 * once.
 *
 * @example
 * parseTable('routes.ini', TableName.Routes, text).map((rows) => rows.get('cup-guide'));
 */
const parseTable = (
  file: string,
  table: TableName,
  text: string,
): Either<ValidationError[], Map<string, unknown>> => {
  const rows = new Map<string, unknown>();
  const errors = findDuplicateSections(file, text);
  Object.entries(parse(text)).forEach(([name, section]) => {
    if (!isSection(section)) {
      errors.push({ file, section: '', key: name, reason: 'appears before the first section' });
      return;
    }
    const isPool = table === TableName.Pools;
    if (!isPool) errors.push(...findNestedSections(file, name, section));
    const value = isPool ? convertPoolSection(section) : convertIniSection(section);
    parseRow(file, table, name, value).caseOf({
      Left: (found) => {
        errors.push(...found);
      },
      Right: (row) => {
        rows.set(name, row);
      },
    });
  });
  return errors.length > 0 ? Left(errors) : Right(rows);
};

export default parseTable;
