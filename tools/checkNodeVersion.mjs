/** Compares the version of Node.js that runs a build with the one that is meant. */
import { readFileSync } from 'node:fs';
import BuildError from './BuildError.mjs';

const AT_LEAST = /^>=(\d+)\.(\d+)$/;
const VERSION = /^(\d+)\.(\d+)/;

const numbersIn = (pattern, text) => pattern.exec(text).slice(1).map(Number);

/**
 * Throws if Node.js is older than `engines` of package.json says.
 *
 * @example
 * checkNodeVersion();
 *
 * @throws BuildError that names both versions and the program.
 */
const checkNodeVersion = () => {
  const { engines } = JSON.parse(readFileSync('package.json', 'utf8'));
  const [major, minor] = numbersIn(AT_LEAST, engines.node);
  const [ownMajor, ownMinor] = numbersIn(VERSION, process.versions.node);
  if (ownMajor > major || (ownMajor === major && ownMinor >= minor)) return;
  const own = `${process.execPath} is ${process.versions.node}`;
  throw new BuildError('node', `Node.js ${engines.node} is needed (package.json), ${own}`);
};

export default checkNodeVersion;
