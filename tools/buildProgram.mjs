/** Builds the program, and puts it in place once it has been checked. */
import { chmodSync, mkdirSync, readdirSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import BuildError from './BuildError.mjs';
import checkProgram from './checkProgram.mjs';
import installPackages from './installPackages.mjs';
import lastLine from './lastLine.mjs';
import paths from './paths.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

/** The steps that fail where packages are missing, or are those of another version or machine. */
const INSTALL_MAY_HELP = ['bundle', 'check'];

/** The user that runs the program may be another than the one that builds it, under any umask. */
const READABLE_MODE = 0o644;
const READABLE_FOLDER_MODE = 0o755;

/** What a build leaves that is killed. */
const LEFT_BEHIND = /^(npm-cache|wisteriapath\.\d+\.cjs)$/;

/** Runs a step that writes files; an error names the step. */
const place = (act) => {
  try {
    act();
  } catch (error) {
    throw new BuildError('place', error.message);
  }
};

/** Creates the folder of the program, and a first file in it. The mode of a folder that is there stays. */
const preparePlace = () => {
  const created = mkdirSync(paths.folder, { recursive: true });
  if (created !== undefined) chmodSync(paths.folder, READABLE_FOLDER_MODE);
  writeFileSync(paths.uncheckedProgram, '');
  chmodSync(paths.uncheckedProgram, READABLE_MODE);
};

/** Removes all but the program, that of killed builds too; only one build at a time works in a checkout. */
const removeTemporary = () =>
  readdirSync(paths.folder)
    .filter((name) => LEFT_BEHIND.test(name))
    .forEach((name) => rmSync(join(paths.folder, name), { recursive: true, force: true }));

const bundle = () =>
  runStep('bundle', process.execPath, ['tools/bundle.mjs'], {
    timeoutMs: timeouts.bundleMs,
    reasonIn: lastLine,
  });

const bundleAndCheck = async () => {
  const program = await bundle();
  place(() => writeFileSync(paths.uncheckedProgram, program));
  await checkProgram(paths.uncheckedProgram);
};

/** Installs all packages and tries once more if the program cannot be made from those in place. */
const bundleInstalled = async () => {
  try {
    await bundleAndCheck();
  } catch (error) {
    if (!INSTALL_MAY_HELP.includes(error.step)) throw error;
    console.error(`build: packages are installed, as of ${error.message}`);
    await installPackages();
    await bundleAndCheck();
  }
};

/**
 * Resolves once the program is in place. If that fails, the program built before stays.
 *
 * @example
 * await buildProgram();
 *
 * @throws BuildError that names the step and the reason.
 */
const buildProgram = async () => {
  place(preparePlace);
  try {
    await bundleInstalled();
    place(() => renameSync(paths.uncheckedProgram, paths.program));
  } finally {
    removeTemporary();
  }
};

export default buildProgram;
