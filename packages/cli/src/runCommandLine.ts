import cac from 'cac';
import { settingsReference } from '@wisteriapath/config';
import { TableName } from '@wisteriapath/model';
import CommandError from './CommandError';
import ExitCode from './ExitCode';
import OperatorClient from './OperatorClient';
import applyTables from './applyTables';
import demo from './demo';
import printStatus from './printStatus';
import readSettings from './readSettings';
import serve from './serve';
import serveSignals from './serveSignals';
import runTableCommand from './tableCommands';
import trace from './trace';

interface Flags {
  readonly config?: string;
  readonly url?: string;
  readonly token?: string;
  readonly json?: boolean;
  readonly once?: boolean;
  readonly dryRun?: boolean;
  readonly value?: string;
  readonly workspace?: string;
  readonly confirmedDown?: boolean;
}

const connect = (flags: Flags): OperatorClient => {
  const url = flags.url ?? process.env.WISTERIAPATH_URL;
  const token = flags.token ?? process.env.WISTERIAPATH_TOKEN;
  if (url === undefined || token === undefined) {
    const message = 'set --url and --token, or WISTERIAPATH_URL and WISTERIAPATH_TOKEN';
    throw new CommandError(message, ExitCode.UsageError);
  }
  return new OperatorClient(url, token);
};

const cli = cac('wisteriapath');
cli.option(
  '--url <url>',
  'URL of the administration API of any instance (default: WISTERIAPATH_URL)',
);
cli.option('--token <token>', 'Operator token (default: WISTERIAPATH_TOKEN)');
cli.option('--json', 'Print JSON');

cli
  .command('serve', 'Run an entry instance')
  .option('--config <file>', 'Settings file')
  .action((flags: Flags) => {
    if (flags.config === undefined) {
      throw new CommandError('serve: --config FILE is required', ExitCode.UsageError);
    }
    return serve(flags.config, serveSignals!);
  });

cli.command('check <file>', 'Check a settings file').action((file: string) => {
  readSettings(file);
  process.stdout.write(`${file}: no faults\n`);
});

cli
  .command('demo', 'Run a complete system with stand-ins in this process')
  .option('--once', 'Stop after the first response')
  .action((flags: Flags) => demo({ once: flags.once === true }));

cli
  .command('trace <request> <...files>', 'Trace a request through log files')
  .action((request: string, files: string[]) => trace(request, files));

cli.command('reference', 'Print the reference of all settings').action(() => {
  process.stdout.write(settingsReference());
});

Object.values(TableName).forEach((table) => {
  cli
    .command(`${table} <action> [name]`, `Show or edit ${table}`)
    .option('--value <json>', 'New value of the row')
    .option('--workspace <name>', 'Workspace that the granted key belongs to')
    .action((action: string, name: string | undefined, flags: Flags) =>
      runTableCommand(connect(flags), table, action, name ?? '', flags),
    );
});

cli
  .command('apply <directory>', 'Make the tables equal to the INI files of a directory')
  .option('--dry-run', 'Print the changes without making them')
  .action((directory: string, flags: Flags) =>
    applyTables(connect(flags), directory, { dryRun: flags.dryRun === true }),
  );

cli
  .command('status', 'Show instances, roles and targets')
  .action((flags: Flags) => printStatus(connect(flags), flags.json === true));

cli
  .command('explain <route>', 'Show where a request for a route would go now, and why')
  .action(async (route: string, flags: Flags) => {
    const explained = await connect(flags).explain(route);
    process.stdout.write(`${JSON.stringify(explained, null, 2)}\n`);
  });

cli
  .command('instances <action> <name>', 'gone: confirm that an instance is down')
  .option('--confirmed-down', 'States that the process is known not to run')
  .action(async (action: string, name: string, flags: Flags) => {
    if (action !== 'gone' || flags.confirmedDown !== true) {
      const message = 'use: instances gone NAME --confirmed-down';
      throw new CommandError(message, ExitCode.UsageError);
    }
    await connect(flags).confirmDown(name);
    process.stdout.write(`other instances may take over what ${name} held\n`);
  });

cli.help();

const fail = (error: Error): void => {
  process.stderr.write(`${error.message}\n`);
  const isUsage = error.name === 'CACError';
  const code = error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  process.exitCode = isUsage ? ExitCode.UsageError : code;
};

const runMatched = async (): Promise<void> => {
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand === undefined && cli.options.help !== true) {
    cli.outputHelp();
    process.exitCode = ExitCode.UsageError;
    return;
  }
  await cli.runMatchedCommand();
};

/**
 * Runs the command that the arguments of the process name. An error ends in a line and an exit code.
 *
 * @example
 * void runCommandLine();
 */
const runCommandLine = (): Promise<void> => runMatched().catch(fail);

export default runCommandLine;
