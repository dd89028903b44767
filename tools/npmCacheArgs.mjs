/** Finds a folder that npm can use as its cache. */
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import lastLine from './lastLine.mjs';
import paths from './paths.mjs';
import runStep from './runStep.mjs';
import timeouts from './timeouts.mjs';

/** npm writes each package to this folder of its cache first. */
const TEMPORARY_FOLDER = '_cacache/tmp';
/** npm would name a log in the cache, which is removed. */
const NO_LOG = '--logs-max=0';

/** Throws if npm could not write to a cache. */
const tryToWrite = (cache) => {
  const folder = join(cache, TEMPORARY_FOLDER);
  mkdirSync(folder, { recursive: true });
  rmSync(mkdtempSync(join(folder, 'build-')), { recursive: true });
};

/**
 * Resolves to the arguments for npm that name a cache which can be written; none if its own can. Says so if not.
 *
 * @example
 * await npmCacheArgs(); // ['--cache=target/npm-cache', '--logs-max=0'] where HOME cannot be written
 *
 * @throws BuildError if npm cannot be started.
 */
const npmCacheArgs = async () => {
  const answer = await runStep('install', 'npm', ['config', 'get', 'cache', '--loglevel=error'], {
    timeoutMs: timeouts.configMs,
    name: 'npm config',
    reasonIn: lastLine,
  });
  try {
    tryToWrite(lastLine(answer));
    return [];
  } catch (error) {
    const place = `uses ${paths.npmCache} for this install`;
    console.error(`build: npm's cache cannot be written, ${place}: ${error.message}`);
    return [`--cache=${paths.npmCache}`, NO_LOG];
  }
};

export default npmCacheArgs;
