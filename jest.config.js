const shared = {
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } },
    ],
  },
  moduleNameMapper: { '^@wisteriapath/([^/]+)$': '<rootDir>/packages/$1/src' },
};

module.exports = {
  testTimeout: 60_000,
  projects: [
    {
      ...shared,
      testMatch: ['<rootDir>/{packages/*,platform}/test/**/*.test.ts'],
      testPathIgnorePatterns: ['/node_modules/', '/test/crowds/'],
    },
    // Crowds of clients would disturb other tests and be disturbed by them.
    {
      ...shared,
      testMatch: ['<rootDir>/{packages/*,platform}/test/crowds/*.test.ts'],
      runner: '<rootDir>/tools/serialJestRunner.cjs',
    },
  ],
};
