/** What a build writes, from the root of the repository; all but the program is removed with its end. */
export default {
  folder: 'target',
  program: 'target/wisteriapath.cjs',
  /** Replaces the program once it has been checked, so that a process which starts meanwhile finds a whole one. */
  uncheckedProgram: `target/wisteriapath.${process.pid}.cjs`,
  /** Used only where npm's own cache cannot be written. */
  npmCache: 'target/npm-cache',
};
