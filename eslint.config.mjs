import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

const PACKAGE_ORDER = [
  'model',
  'byte-accumulator',
  'body-memory',
  'response-ends',
  'suspects',
  'scheduling',
  'log-client',
  'config',
  'peer',
  'ledger',
  'admission',
  'placement',
  'routing',
  'daemon',
  'trace',
  'cli',
];

/** Packages of the users' platform, above `model` only. */
const EDGE_ORDER = [
  'model',
  'byte-accumulator',
  'body-memory',
  'response-ends',
  'suspects',
  'scheduling',
  'scaling',
  'fleet',
  'duties',
  'edge',
  'platform',
];

/** Packages that may be imported by each package: only those further down. */
const dependencyDirection = PACKAGE_ORDER.map((name, position) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [...PACKAGE_ORDER.slice(position), name === 'cli' ? '' : 'standins']
          .filter((other) => other !== '')
          .map((other) => ({ group: [`@wisteriapath/${other}`, `@wisteriapath/${other}/*`] })),
      },
    ],
  },
}));

const edgeDirection = EDGE_ORDER.slice(1).map((name, position) => ({
  files: [name === 'platform' ? 'platform/src/**/*.ts' : `packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          ...EDGE_ORDER.slice(position + 1),
          ...PACKAGE_ORDER.filter((other) => !EDGE_ORDER.includes(other)),
          'standins',
        ].map((other) => ({ group: [`@wisteriapath/${other}`, `@wisteriapath/${other}/*`] })),
      },
    ],
  },
}));

/** Names of the users' wire, which only `platform/` may know. */
const WIRE_NAMES =
  '^(attempt-id|deadline-ms|server-stamp|expect-instance|instance-load|instance-id|not-executed|x-api-key|token-usage|prompt-prefix|request-priority|weight-versions|kv-from|kv-backup|path_prefix|slo_ms|timeout_ms|api_keys|rate_per_s|cold_left_ms|weights_mb|adapter_slots|precondition|lease-holder|fencing-token|window_id|remaining_ms|boot_s|/usage|/scale|keyed\\.op|keyed\\.servers|/v1/.*)$';

export default tseslint.config(
  {
    ignores: [
      'target/**',
      'journal/**',
      '**/dist/**',
      '**/generated/**',
      'coverage/**',
      '.bench/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Prettier owns the layout.
      ...Object.fromEntries(
        Object.keys({ ...rules.base.stylistic.rules, ...rules.typescript.stylistic.rules }).map(
          (rule) => [rule, 'off'],
        ),
      ),
      // The brief asks for one task per connection, written straight down: loops that await.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/prefer-default-export': 'error',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'max-lines': ['error', { max: 320, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: {
      globals: {
        console: 'readonly',
        module: 'writable',
        process: 'readonly',
        require: 'readonly',
      },
    },
    rules: { 'no-console': 'off' },
  },
  ...dependencyDirection,
  ...edgeDirection,
  {
    files: ['packages/{fleet,edge,model,duties,scaling}/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=/${WIRE_NAMES.replaceAll('/', '\\/')}/i]`,
          message: 'Names of the wire belong to platform/.',
        },
      ],
    },
  },
  {
    files: ['packages/standins/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: PACKAGE_ORDER.slice(1).map((other) => ({ group: [`@wisteriapath/${other}`] })),
        },
      ],
    },
  },
  {
    files: ['**/src/**/*.ts'],
    ignores: ['**/src/index.ts', '**/src/main.ts'],
    rules: {
      // One export a file.
      'no-restricted-syntax': [
        'error',
        'ForInStatement',
        'LabeledStatement',
        'WithStatement',
        {
          selector: 'ExportNamedDeclaration',
          message: 'One export a file: use a default export.',
        },
      ],
    },
  },
);
