/**
 * Bundles `platform/src/main.ts`, the program that runs on the users' platform, into one file under `target/`. Ends with 0
 * only if the packages in it are those of `package-lock.json`, and the program creates an instance from sample settings.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import undeclaredImports from './undeclaredImports.mjs';

const ENTRY_POINT = 'platform/src/main.ts';
const PROGRAM = 'target/wisteriapath.cjs';
/** Replaces the program once it has been checked, so that a process which starts meanwhile finds a whole one. */
const UNCHECKED_PROGRAM = `target/wisteriapath.${process.pid}.cjs`;
const SAMPLE_SETTINGS = 'deploy/settings.sample.toml';
const CHECK_TIMEOUT_MS = 60_000;

const readJson = (path) => JSON.parse(readFileSync(path, 'utf8'));
const versionIn = (folder) => readJson(`${folder}/package.json`).version;

const bundle = async () => {
  const { build } = await import('esbuild');
  return build({
    entryPoints: [ENTRY_POINT],
    outfile: PROGRAM,
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

/** Throws if the program does not load, or does not create an instance from settings. */
const checkProgram = () => {
  execFileSync(process.execPath, [UNCHECKED_PROGRAM, '--check'], {
    env: { WISTERIAPATH_BOOT: SAMPLE_SETTINGS },
    stdio: ['ignore', 'ignore', 'inherit'],
    timeout: CHECK_TIMEOUT_MS,
  });
};

try {
  const { metafile, outputFiles } = await bundle();
  const { packages } = readJson('package-lock.json');
  const problems = undeclaredImports(metafile, packages, versionIn);
  if (problems.length > 0) throw new Error(problems.join('\n'));
  mkdirSync(dirname(PROGRAM), { recursive: true });
  writeFileSync(UNCHECKED_PROGRAM, outputFiles[0].contents);
  checkProgram();
  renameSync(UNCHECKED_PROGRAM, PROGRAM);
} catch (error) {
  rmSync(UNCHECKED_PROGRAM, { force: true });
  console.error(`${PROGRAM} was not built: ${error.message}`);
  process.exitCode = 1;
}
