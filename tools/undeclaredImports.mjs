/**
 * Compares the packages in a bundle with `package-lock.json`. Resolution falls back to a parent folder, so an install that
 * lacks a package yields another version of it without an error.
 */
const FOLDER = /^((?:.*\/)?node_modules\/(?:@[^/]+\/)?[^/]+)\//;
const NAME = /^(?:@[^/]+\/)?[^/]+/;

/** Returns the folder of the package that holds a file, or undefined for a file of this repository. */
const packageFolder = (path) => FOLDER.exec(path)?.[1];

/** Returns the folder in which the lock file has a package for an importing file, or undefined. */
const lockedFolder = (importer, name, locked) => {
  const parts = importer.split('/').slice(0, -1);
  for (let depth = parts.length; depth >= 0; depth -= 1) {
    const folder = [...parts.slice(0, depth), 'node_modules', name].join('/');
    if (locked[folder] !== undefined) return folder;
  }
  return undefined;
};

/**
 * Returns a message for each bundled package that is not the one of the lock file; empty if all are.
 *
 * @example
 * undeclaredImports(metafile, lock.packages, (folder) => installedVersion(folder));
 *
 * @param metafile The result of esbuild that names each bundled file with its imports.
 * @param locked The `packages` of the lock file, by folder.
 * @param versionIn Returns the version of the package in a folder.
 */
const undeclaredImports = (metafile, locked, versionIn) => {
  const problems = new Set();
  const check = (importer, { path, original }) => {
    const folder = packageFolder(path);
    if (folder === undefined) return;
    if (original !== undefined && !original.startsWith('.') && !original.startsWith('#')) {
      const expected = lockedFolder(importer, NAME.exec(original)[0], locked);
      if (expected !== folder) {
        problems.add(`${importer}: imports ${folder} in place of ${expected ?? 'no package'}`);
      }
    }
    const version = versionIn(folder);
    if (version !== locked[folder]?.version) {
      problems.add(`${folder}: version ${version} in place of ${locked[folder]?.version}`);
    }
  };
  Object.entries(metafile.inputs).forEach(([importer, { imports }]) => {
    imports.filter(({ external }) => !external).forEach((entry) => check(importer, entry));
  });
  return [...problems];
};

export default undeclaredImports;
