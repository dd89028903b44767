import { createHash } from 'node:crypto';

/**
 * Returns the traits by which a request is recognized if it crashes targets: a fingerprint of workspace, path and body,
 * and the parts of its prompt that others may share.
 *
 * @example
 * traitsOf('club', '/guide/', body, ['5c1e07a2']); // ['request:...', 'part:5c1e07a2']
 */
const traitsOf = (
  workspace: string,
  path: string,
  body: Buffer,
  sharedParts: readonly string[],
): readonly string[] => {
  const hash = createHash('sha1').update(`${workspace}\n${path}\n`).update(body).digest('base64');
  return [`request:${hash}`, ...sharedParts.map((part) => `part:${part}`)];
};

export default traitsOf;
