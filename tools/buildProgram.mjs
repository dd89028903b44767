/** Builds the program, and puts it in place once it has been checked. */
import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import BuildError from './BuildError.mjs';
import checkProgram from './checkProgram.mjs';
import installPackages from './installPackages.mjs';
import lastLine from './lastLine.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

const PROGRAM = 'target/wisteriapath.cjs';
/** Replaces the program once it has been checked, so that a process which starts meanwhile finds a whole one. */
const UNCHECKED_PROGRAM = `target/wisteriapath.${process.pid}.cjs`;

/** The steps that fail where packages are missing, or are those of another version or machine. */
const INSTALL_MAY_HELP = ['bundle', 'check'];

/** Runs a step that writes files; an error names the step. */
const place = (act) => {
  try {
    act();
  } catch (error) {
    throw new BuildError('place', error.message);
  }
};

const bundle = () =>
  runStep('bundle', process.execPath, ['tools/bundle.mjs'], {
    timeoutMs: timeouts.bundleMs,
    reasonIn: lastLine,
  });

const bundleAndCheck = async () => {
  const program = await bundle();
  place(() => writeFileSync(UNCHECKED_PROGRAM, program));
  await checkProgram(UNCHECKED_PROGRAM);
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
  place(() => mkdirSync(dirname(PROGRAM), { recursive: true }));
  try {
    await bundleInstalled();
    place(() => renameSync(UNCHECKED_PROGRAM, PROGRAM));
  } finally {
    rmSync(UNCHECKED_PROGRAM, { force: true });
  }
};

export default buildProgram;
