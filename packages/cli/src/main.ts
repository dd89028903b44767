#!/usr/bin/env node
/** The `wisteriapath` command line. */
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
    const message = 'state --url and --token, or WISTERIAPATH_URL and WISTERIAPATH_TOKEN';
    throw new CommandError(message, ExitCode.Usage);
  }
  return new OperatorClient(url, token);
};

const cli = cac('wisteriapath');
cli.option('--url <url>', 'Administration API of any instance; or WISTERIAPATH_URL');
cli.option('--token <token>', 'Operator token; or WISTERIAPATH_TOKEN');
cli.option('--json', 'Print JSON for programs');

cli
  .command('serve', 'Run an entry instance')
  .option('--config <file>', 'Settings file')
  .action((flags: Flags) => {
    if (flags.config === undefined) {
      throw new CommandError('serve: --config FILE is required', ExitCode.Usage);
    }
    return serve(flags.config);
  });

cli.command('check <file>', 'Check a settings file').action((file: string) => {
  readSettings(file);
  process.stdout.write(`${file}: no faults\n`);
});

cli
  .command('demo', 'Run a whole system on stand-ins in this process')
  .option('--once', 'End after the first answer')
  .action((flags: Flags) => demo({ once: flags.once === true }));

cli
  .command('trace <request> <...files>', 'Tell the story of a request from log files')
  .action((request: string, files: string[]) => trace(request, files));

cli.command('reference', 'Print the reference page of all settings').action(() => {
  process.stdout.write(settingsReference());
});

Object.values(TableName).forEach((table) => {
  cli
    .command(`${table} <action> [name]`, `Show or edit ${table}`)
    .option('--value <json>', 'The new row')
    .option('--workspace <name>', 'Workspace of a granted key')
    .action((action: string, name: string | undefined, flags: Flags) =>
      runTableCommand(connect(flags), table, action, name ?? '', flags),
    );
});

cli
  .command('apply <directory>', 'Make the tables equal to the INI files of a directory')
  .option('--dry-run', 'Only show the changes')
  .action((directory: string, flags: Flags) =>
    applyTables(connect(flags), directory, { dryRun: flags.dryRun === true }),
  );

cli
  .command('status', 'Instances, roles and targets')
  .action((flags: Flags) => printStatus(connect(flags), flags.json === true));

cli
  .command('explain <route>', 'Where a call of a route would go now, and why')
  .action(async (route: string, flags: Flags) => {
    const explained = await connect(flags).explain(route);
    process.stdout.write(`${JSON.stringify(explained, null, 2)}\n`);
  });

cli
  .command('instances <action> <name>', 'gone: vouch that an instance is down')
  .option('--confirmed-down', 'You have made sure that the process does not run')
  .action(async (action: string, name: string, flags: Flags) => {
    if (action !== 'gone' || flags.confirmedDown !== true) {
      const message = 'use: instances gone NAME --confirmed-down';
      throw new CommandError(message, ExitCode.Usage);
    }
    await connect(flags).confirmDown(name);
    process.stdout.write(`what ${name} held may be taken over\n`);
  });

cli.help();

const fail = (error: Error): void => {
  process.stderr.write(`${error.message}\n`);
  const isUsage = error.name === 'CACError';
  const code = error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  process.exitCode = isUsage ? ExitCode.Usage : code;
};

const run = async (): Promise<void> => {
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand === undefined && cli.options.help !== true) {
    cli.outputHelp();
    process.exitCode = ExitCode.Usage;
    return;
  }
  await cli.runMatchedCommand();
};

run().catch(fail);
