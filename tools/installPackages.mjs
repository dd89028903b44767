/** Installs the packages of `package-lock.json`, whatever the settings of npm and NODE_ENV leave out. */
import npmCacheArgs from './npmCacheArgs.mjs';
import npmEnvironment from './npmEnvironment.mjs';
import npmReason from './npmReason.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

const COMMAND = [
  'ci',
  '--include=dev',
  '--include=optional',
  '--include=peer',
  '--location=project',
  '--global=false',
  '--package-lock=true',
  '--package-lock-only=false',
  '--dry-run=false',
  '--engine-strict=false',
  '--ignore-scripts',
  '--prefer-offline',
  '--json=false',
  '--loglevel=error',
];

/**
 * Resolves once npm has installed all packages. No scripts of packages are run: the build needs none.
 *
 * @example
 * await installPackages();
 *
 * @throws BuildError with npm's own reason.
 */
const installPackages = async () => {
  const cacheArgs = await npmCacheArgs();
  await runStep('install', 'npm', [...COMMAND, ...cacheArgs], {
    timeoutMs: timeouts.installMs,
    env: npmEnvironment(process.env),
    name: 'npm ci',
    reasonIn: npmReason,
  });
};

export default installPackages;
