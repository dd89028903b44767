#!/usr/bin/env node
/** `wisteriapath-standin KIND [--port N] [--options JSON]`: runs one stand-in as a process. */
import cac from 'cac';
import type RunningStandin from './RunningStandin';
import startEngine from './startEngine';
import startInstanceList from './startInstanceList';
import startLog from './startLog';
import startService from './startService';
import startWeightStore from './startWeightStore';

type Starter = (options: object) => Promise<RunningStandin>;

const STARTERS: Readonly<Record<string, Starter>> = {
  log: startLog,
  instances: startInstanceList,
  weights: startWeightStore,
  engine: startEngine,
  service: startService,
};
const EXIT_USAGE = 2;

const cli = cac('wisteriapath-standin');
cli
  .command('<kind>', `Start a stand-in: ${Object.keys(STARTERS).join(', ')}`)
  .option('--port <port>', 'Port on the loopback address; 0 takes a free one', { default: 0 })
  .option('--options <json>', 'Options of the stand-in, as JSON', { default: '{}' })
  .action(async (kind: string, flags: { port: number; options: string }) => {
    const start = STARTERS[kind];
    if (start === undefined) {
      process.stderr.write(`unknown stand-in ${kind}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    const options = { ...(JSON.parse(flags.options) as object), port: Number(flags.port) };
    const standin = await start(options);
    process.stdout.write(`ready ${standin.url}\n`);
    process.on('SIGTERM', () => {
      void standin.close().then(() => process.exit(0));
    });
  });
cli.help();
cli.parse();
