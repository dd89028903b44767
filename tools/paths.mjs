/** What a build writes, from the root of the repository; all but the two files of the program is removed with its end. */
const folder = 'target';

/** Digits of the digest in the name of the second file. */
const DIGEST_DIGITS = 16;

export default {
  /** The packages that are installed. */
  packages: 'node_modules',
  folder,
  /** The first file of the program; names the second. */
  program: `${folder}/wisteriapath.cjs`,
  /** Replaces the first file once both have been checked, so that a process which starts meanwhile finds a whole one. */
  uncheckedProgram: `${folder}/wisteriapath.${process.pid}.cjs`,
  /** The second file while it is written. */
  unwrittenSecond: `${folder}/program.${process.pid}.cjs`,
  /** Returns the name of the second file, whose content has a digest: a name never stands for another content. */
  secondName: (digest) => `program-${digest.slice(0, DIGEST_DIGITS)}.cjs`,
  /** The names of second files, in a text. */
  secondNames: /program-[0-9a-f]+\.cjs/g,
  /** Used only where npm's own cache cannot be written. */
  npmCache: `${folder}/npm-cache`,
};
