// Bundles platform/src/main.ts, the program that runs on the users' platform, into one file under target/.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/wisteriapath.cjs',
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
