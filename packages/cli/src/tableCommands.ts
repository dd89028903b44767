import { randomBytes } from 'node:crypto';
import { sha256Hex, TableName, ZoneState } from '@wisteriapath/model';
import CommandError from './CommandError';
import ExitCode from './ExitCode';
import type OperatorClient from './OperatorClient';
import awaitInForce from './awaitInForce';
import printTable from './printTable';

interface Flags {
  readonly json?: boolean;
  readonly value?: string;
  readonly workspace?: string;
}

interface Command {
  readonly client: OperatorClient;
  readonly table: TableName;
  readonly name: string;
  readonly flags: Flags;
}

type Action = (command: Command) => Promise<void>;

const SECRET_BYTES = 24;

const printLine = (text: string) => process.stdout.write(`${text}\n`);

const requireValue = (value: string | undefined, what: string): string => {
  if (value === undefined || value === '') {
    throw new CommandError(`${what} is required`, ExitCode.UsageError);
  }
  return value;
};

const readVersion = async ({ client, table, name }: Command): Promise<number> =>
  (await client.row(table, name))?.version ?? 0;

const setRow = async (command: Command, value: unknown): Promise<void> => {
  const { client, table, name } = command;
  const edited = await client.set(
    table,
    requireValue(name, 'a name'),
    await readVersion(command),
    value,
  );
  const confirmed = await awaitInForce(client, edited.offset);
  printLine(
    `${table}/${name} is at version ${edited.version}, in force on ${confirmed.length} instances`,
  );
};

const list: Action = async ({ client, table, flags }) => {
  const rows = await client.rows(table);
  if (flags.json) {
    printLine(JSON.stringify(rows));
    return;
  }
  const lines = Object.entries(rows).map(([name, row]) => [
    name,
    String(row.version),
    JSON.stringify(row.value),
  ]);
  printTable(['name', 'version', 'value'], lines);
};

const get: Action = async ({ client, table, name }) => {
  const row = await client.row(table, requireValue(name, 'a name'));
  if (row === undefined) throw new CommandError(`${table}: no row ${name}`, ExitCode.Failed);
  printLine(JSON.stringify(row, null, 2));
};

const set: Action = async (command) => {
  const text = requireValue(command.flags.value, '--value JSON');
  try {
    await setRow(command, JSON.parse(text));
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
    throw new CommandError('--value is not valid JSON', ExitCode.UsageError);
  }
};

const remove: Action = async (command) => {
  const { client, table, name } = command;
  const version = await readVersion(command);
  if (version === 0) throw new CommandError(`${table}: no row ${name}`, ExitCode.Failed);
  const edited = await client.remove(table, name, version);
  const confirmed = await awaitInForce(client, edited.offset);
  printLine(`${table}/${name} is removed on ${confirmed.length} instances`);
};

const grant: Action = async (command) => {
  const workspace = requireValue(command.flags.workspace, '--workspace');
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  await setRow(command, { sha256: sha256Hex(secret), workspace });
  printLine(`secret, shown only now: ${secret}`);
};

const zoneStateAction =
  (state: ZoneState): Action =>
  (command) =>
    setRow(command, { state });

const COMMON_ACTIONS: Readonly<Record<string, Action>> = { list, get, set, remove };

const ACTIONS: Readonly<Record<TableName, Readonly<Record<string, Action>>>> = {
  [TableName.Routes]: COMMON_ACTIONS,
  [TableName.Pools]: COMMON_ACTIONS,
  [TableName.Workspaces]: COMMON_ACTIONS,
  [TableName.Keys]: { list, get, remove, grant, withdraw: remove },
  [TableName.Zones]: {
    ...COMMON_ACTIONS,
    in: zoneStateAction(ZoneState.In),
    out: zoneStateAction(ZoneState.Out),
  },
};

/**
 * Runs the command `TABLE ACTION [NAME]`. Throws a `CommandError` for an action that the table does not have.
 *
 * @example
 * await runTableCommand(client, TableName.Keys, 'withdraw', 'club-7', {});
 */
const runTableCommand = async (
  client: OperatorClient,
  table: TableName,
  action: string,
  name: string,
  flags: Flags,
): Promise<void> => {
  const run = ACTIONS[table][action];
  if (run === undefined) {
    const known = Object.keys(ACTIONS[table]).join(', ');
    throw new CommandError(
      `${table}: unknown action ${action}; known: ${known}`,
      ExitCode.UsageError,
    );
  }
  await run({ client, table, name, flags });
};

export default runTableCommand;
