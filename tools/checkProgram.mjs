/** Checks that the program which was built starts. */
import errorLine from './errorLine.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

const SAMPLE_SETTINGS = 'deploy/settings.sample.toml';

/**
 * Resolves if the program loads and creates an instance from the sample settings; it opens no port.
 *
 * @example
 * await checkProgram('target/wisteriapath.cjs');
 *
 * @throws BuildError with the error of the program.
 */
const checkProgram = async (program) => {
  await runStep('check', process.execPath, [program, '--check'], {
    timeoutMs: timeouts.checkMs,
    env: { WISTERIAPATH_BOOT: SAMPLE_SETTINGS },
    reasonIn: errorLine,
  });
};

export default checkProgram;
