/**
 * Bundles the program that runs on the users' platform into two files: `platform/src/main.ts`, which loads the other one, and
 * `platform/src/program.ts` with all that it needs. Writes their texts to standard output, as JSON: `first`, `second`, and
 * `secondName`, which tells its content. Ends with 0 only if the packages in them are those of `package-lock.json`. The last line
 * of standard error tells the reason.
 */
import { createHash } from 'node:crypto';
import { readFileSync, readdirSync } from 'node:fs';
import paths from './paths.mjs';
import undeclaredImports from './undeclaredImports.mjs';

const FIRST_ENTRY_POINT = 'platform/src/main.ts';
const SECOND_ENTRY_POINT = 'platform/src/program.ts';
const SECOND_IMPORT = /^\.\/program$/;

const readJson = (path) => JSON.parse(readFileSync(path, 'utf8'));
const versionIn = (folder) => readJson(`${folder}/package.json`).version;

/** The packages of this workspace are bundled from their sources, built or not. */
const ownPackages = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@wisteriapath/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

/** Returns the text of a bundle; an import of the second file is left to Node.js, under its name. */
const bundle = async (entryPoint, plugins = []) => {
  const { build } = await import('esbuild');
  const { metafile, outputFiles } = await build({
    entryPoints: [entryPoint],
    plugins,
    write: false,
    metafile: true,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    minifyWhitespace: true,
    keepNames: false,
    logLevel: 'warning',
    alias: ownPackages,
  });
  const { packages } = readJson('package-lock.json');
  const problems = undeclaredImports(metafile, packages, versionIn);
  if (problems.length > 0) throw new Error(problems.join('\n'));
  return outputFiles[0].text;
};

/** Makes an import of the second file one of the file of that name in the folder of the first. */
const importAs = (name) => ({
  name: 'second-file',
  setup: ({ onResolve }) =>
    onResolve({ filter: SECOND_IMPORT }, () => ({ path: `./${name}`, external: true })),
});

const bundleBoth = async () => {
  const second = await bundle(SECOND_ENTRY_POINT);
  const secondName = paths.secondName(createHash('sha256').update(second).digest('hex'));
  const first = await bundle(FIRST_ENTRY_POINT, [importAs(secondName)]);
  return { first, second, secondName };
};

/** Returns the reason of an error in one line. The message of esbuild begins with a line that counts its errors. */
const reasonOf = ({ errors, message }) => {
  if (errors === undefined || errors.length === 0) return message.replaceAll('\n', '; ');
  const [{ location, text }] = errors;
  return location === null ? text : `${location.file}:${location.line}: ${text}`;
};

try {
  process.stdout.write(JSON.stringify(await bundleBoth()));
} catch (error) {
  console.error(reasonOf(error));
  process.exitCode = 1;
}
