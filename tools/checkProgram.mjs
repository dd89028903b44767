/** Checks that the program which was built starts. */
import BuildError from './BuildError.mjs';
import errorLine from './errorLine.mjs';
import runFlags from './runFlags.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

const DEPLOY_FILE = 'deploy/system.toml';
const SAMPLE_SETTINGS = 'deploy/settings.sample.toml';

const check = (program, flags) =>
  runStep('check', process.execPath, [...flags, program, '--check'], {
    timeoutMs: timeouts.checkMs,
    env: { WISTERIAPATH_BOOT: SAMPLE_SETTINGS },
    reasonIn: errorLine,
  });

/**
 * Resolves if the program loads and creates an instance from the sample settings; it opens no port. Node.js has the flags of
 * each `run` line of the deploy file: one that this Node.js does not know ends the program as it starts.
 *
 * @example
 * await checkProgram('target/wisteriapath.cjs');
 *
 * @throws BuildError with the error of the program.
 */
const checkProgram = async (program) => {
  const all = runFlags(DEPLOY_FILE);
  if (all.length === 0) throw new BuildError('check', `${DEPLOY_FILE} has no run line`);
  await Promise.all(all.map((flags) => check(program, flags)));
};

export default checkProgram;
