/**
 * Builds the program that runs on the users' platform: `node tools/build.mjs` in the root of the repository. Ends with 0 only
 * if the program starts; if not, the last line of standard error names the step that failed and the reason.
 */
import buildProgram from './buildProgram.mjs';
import buildTurn from './buildTurn.mjs';
import checkNodeVersion from './checkNodeVersion.mjs';

/** A write beyond the limit on the size of files is then an error that names the file, and not the end of the process. */
process.on('SIGXFSZ', () => undefined);

try {
  checkNodeVersion();
  await buildTurn('.', buildProgram);
} catch (error) {
  console.error(`build: failed in ${error.name === 'BuildError' ? error.message : error.stack}`);
  process.exitCode = 1;
}
