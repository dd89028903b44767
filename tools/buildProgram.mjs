/** Builds the program, and puts it in place once it has been checked. */
import {
  chmodSync,
  existsSync,
  mkdirSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
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
const LEFT_BEHIND = /^(npm-cache|(wisteriapath|program)\.\d+\.cjs)$/;

/** Runs a step that reads or writes files of the program; an error names the step. */
const place = (act) => {
  try {
    return act();
  } catch (error) {
    throw new BuildError('place', error.message);
  }
};

/** Writes a file that the user who runs the program can read, and puts it in place whole. */
const writeWhole = (path, unwrittenPath, text) => {
  writeFileSync(unwrittenPath, text);
  chmodSync(unwrittenPath, READABLE_MODE);
  renameSync(unwrittenPath, path);
};

/** Creates the folder of the program, and a first file in it. The mode of a folder that is there stays. */
const preparePlace = () => {
  const created = mkdirSync(paths.folder, { recursive: true });
  if (created !== undefined) chmodSync(paths.folder, READABLE_FOLDER_MODE);
  writeFileSync(paths.uncheckedProgram, '');
  chmodSync(paths.uncheckedProgram, READABLE_MODE);
};

/** Returns the names of the second files that the program in place loads: one, or none if there is no program. */
const secondNamesInPlace = () =>
  existsSync(paths.program)
    ? (readFileSync(paths.program, 'utf8').match(paths.secondNames) ?? [])
    : [];

const isSecondName = (name) => name.match(paths.secondNames)?.[0] === name;

/**
 * Removes all but the program, that of killed builds too; only one build at a time works in a checkout.
 *
 * @param kept The names of the second files that stay.
 */
const removeTemporary = (kept) =>
  readdirSync(paths.folder)
    .filter((name) => LEFT_BEHIND.test(name) || (isSecondName(name) && !kept.includes(name)))
    .forEach((name) => rmSync(join(paths.folder, name), { recursive: true, force: true }));

const bundle = async () => {
  const output = await runStep('bundle', process.execPath, ['tools/bundle.mjs'], {
    timeoutMs: timeouts.bundleMs,
    reasonIn: lastLine,
  });
  return JSON.parse(output);
};

const placeSecond = ({ second, secondName }) =>
  writeWhole(join(paths.folder, secondName), paths.unwrittenSecond, second);

/** Puts the second file in place, which no program in place loads yet, checks the first one, and resolves to both. */
const bundleAndCheck = async () => {
  const files = await bundle();
  place(() => {
    placeSecond(files);
    writeFileSync(paths.uncheckedProgram, files.first);
  });
  await checkProgram(paths.uncheckedProgram);
  return files;
};

const installAndBundle = async () => {
  await installPackages();
  return bundleAndCheck();
};

/** Installs all packages where there are none, and where the program cannot be made from those in place. */
const bundleInstalled = async () => {
  if (!existsSync(paths.packages)) {
    console.error('build: installing packages');
    return installAndBundle();
  }
  try {
    return await bundleAndCheck();
  } catch (error) {
    if (!INSTALL_MAY_HELP.includes(error.step)) throw error;
    console.error(`build: installing packages, as those in place do not do: ${error.message}`);
    return installAndBundle();
  }
};

/**
 * Resolves once the program is in place, by one rename: that of its first file. If that fails, the program built before stays.
 * The second file of the program built before stays too, for a process that has begun with its first file.
 *
 * @example
 * await buildProgram();
 *
 * @throws BuildError that names the step and the reason.
 */
const buildProgram = async () => {
  const before = place(secondNamesInPlace);
  place(preparePlace);
  try {
    const files = await bundleInstalled();
    place(() => {
      // A build beside this one, where builds take no turns, may have taken it for one that nothing loads.
      placeSecond(files);
      renameSync(paths.uncheckedProgram, paths.program);
    });
  } finally {
    removeTemporary([...before, ...secondNamesInPlace()]);
  }
};

export default buildProgram;
