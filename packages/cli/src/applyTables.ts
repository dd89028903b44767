import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  diffTables,
  EditKind,
  type ValidationError,
  formatValidationError,
  parseTable,
  type TableChange,
} from '@wisteriapath/config';
import { TableName } from '@wisteriapath/model';
import CommandError from './CommandError';
import ExitCode from './ExitCode';
import type OperatorClient from './OperatorClient';
import awaitInForce from './awaitInForce';

interface Options {
  /** Prints the changes without making them. */
  readonly dryRun: boolean;
}

/** Rows are set before the rows that refer to them, and removed after them. */
const TABLE_ORDER = [TableName.Workspaces, TableName.Zones, TableName.Pools, TableName.Routes];

const readTables = (directory: string): Map<TableName, Map<string, unknown>> => {
  const tables = new Map<TableName, Map<string, unknown>>();
  const faults: ValidationError[] = [];
  TABLE_ORDER.forEach((table) => {
    const file = join(directory, `${table}.ini`);
    if (!existsSync(file)) return;
    parseTable(file, table, readFileSync(file, 'utf8')).caseOf({
      Left: (tableFaults) => {
        faults.push(...tableFaults);
      },
      Right: (rows) => {
        tables.set(table, rows);
      },
    });
  });
  if (faults.length > 0) {
    throw new CommandError(faults.map(formatValidationError).join('\n'), ExitCode.UsageError);
  }
  if (tables.size === 0) {
    const files = TABLE_ORDER.map((table) => `${table}.ini`).join(', ');
    throw new CommandError(`${directory}: contains none of ${files}`, ExitCode.UsageError);
  }
  return tables;
};

const describeChange = ({ edit, before }: TableChange): string[] => {
  const after = edit.kind === EditKind.Set ? (edit.value as Record<string, unknown>) : {};
  const previous = (before ?? {}) as Record<string, unknown>;
  const fields = [...new Set([...Object.keys(previous), ...Object.keys(after)])];
  const changed = fields.filter(
    (field) => JSON.stringify(previous[field]) !== JSON.stringify(after[field]),
  );
  const show = (value: unknown) => (value === undefined ? '(none)' : JSON.stringify(value));
  return [
    `${edit.kind} ${edit.table}/${edit.name}`,
    ...changed.map((field) => `  ${field}: ${show(previous[field])} -> ${show(after[field])}`),
  ];
};

const collectChanges = async (
  client: OperatorClient,
  tables: ReadonlyMap<TableName, ReadonlyMap<string, unknown>>,
): Promise<TableChange[]> => {
  const changes: TableChange[] = [];
  for (const [table, wanted] of tables) {
    const current = new Map(Object.entries(await client.rows(table)));
    changes.push(...diffTables(table, current, wanted));
  }
  const sets = changes.filter(({ edit }) => edit.kind === EditKind.Set);
  const removals = changes.filter(({ edit }) => edit.kind === EditKind.Remove);
  return [...sets, ...removals.reverse()];
};

/**
 * Makes the tables in force equal to the INI files of a directory and waits until all instances have
 * confirmed this. Tables without a file stay as they are. Prints the changes first.
 *
 * @example
 * await applyTables(client, 'tables', { dryRun: false });
 */
const applyTables = async (
  client: OperatorClient,
  directory: string,
  options: Options,
): Promise<void> => {
  const changes = await collectChanges(client, readTables(directory));
  changes.flatMap(describeChange).forEach((line) => process.stdout.write(`${line}\n`));
  if (changes.length === 0) process.stdout.write('nothing to change\n');
  if (options.dryRun || changes.length === 0) return;
  let offset = 0;
  for (const { edit } of changes) {
    const { table, name, expectedVersion, value } = edit;
    const edited =
      edit.kind === EditKind.Set
        ? await client.set(table, name, expectedVersion, value)
        : await client.remove(table, name, expectedVersion);
    offset = edited.offset;
  }
  const confirmed = await awaitInForce(client, offset);
  process.stdout.write(`${changes.length} changes in force on ${confirmed.length} instances\n`);
};

export default applyTables;
