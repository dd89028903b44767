/** Installs the packages of `package-lock.json`. */
import npmReason from './npmReason.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

const COMMAND = ['ci', '--loglevel=error'];

/**
 * Resolves once npm has installed all packages.
 *
 * @example
 * await installPackages();
 *
 * @throws BuildError with npm's own reason.
 */
const installPackages = async () => {
  await runStep('install', 'npm', COMMAND, {
    timeoutMs: timeouts.installMs,
    reasonIn: npmReason,
  });
};

export default installPackages;
