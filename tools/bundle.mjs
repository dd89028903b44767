/**
 * Bundles `platform/src/main.ts`, the program that runs on the users' platform, into one file on standard output.
 * Ends with 0 only if the packages in it are those of `package-lock.json`. The last line of standard error tells the reason.
 */
import { readFileSync } from 'node:fs';
import undeclaredImports from './undeclaredImports.mjs';

const ENTRY_POINT = 'platform/src/main.ts';

const readJson = (path) => JSON.parse(readFileSync(path, 'utf8'));
const versionIn = (folder) => readJson(`${folder}/package.json`).version;

const bundle = async () => {
  const { build } = await import('esbuild');
  return build({
    entryPoints: [ENTRY_POINT],
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
    alias: {
      '@wisteriapath/model': './packages/model/src/index.ts',
      '@wisteriapath/response-ends': './packages/response-ends/src/index.ts',
      '@wisteriapath/suspects': './packages/suspects/src/index.ts',
      '@wisteriapath/fleet': './packages/fleet/src/index.ts',
      '@wisteriapath/edge': './packages/edge/src/index.ts',
    },
  });
};

/** Returns the reason of an error in one line. The message of esbuild begins with a line that counts its errors. */
const reasonOf = ({ errors, message }) => {
  if (errors === undefined || errors.length === 0) return message.replaceAll('\n', '; ');
  const [{ location, text }] = errors;
  return location === null ? text : `${location.file}:${location.line}: ${text}`;
};

try {
  const { metafile, outputFiles } = await bundle();
  const { packages } = readJson('package-lock.json');
  const problems = undeclaredImports(metafile, packages, versionIn);
  if (problems.length > 0) throw new Error(problems.join('\n'));
  process.stdout.write(outputFiles[0].contents);
} catch (error) {
  console.error(reasonOf(error));
  process.exitCode = 1;
}
