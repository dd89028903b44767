/** Reads how the platform starts the program. */
import { readFileSync } from 'node:fs';

const RUN_LINE = /^run = "node (.*?) ?target\/wisteriapath\.cjs/gm;

/**
 * Returns the flags of Node.js in each `run` line of a deploy file.
 *
 * @example
 * runFlags('deploy/system.toml'); // [['--max-old-space-size=160']]
 */
const runFlags = (deployFile) =>
  [...readFileSync(deployFile, 'utf8').matchAll(RUN_LINE)].map(([, flags]) =>
    flags.split(' ').filter((flag) => flag !== ''),
  );

export default runFlags;
