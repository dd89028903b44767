/** Lets one build at a time work in a checkout. */
import { statSync } from 'node:fs';
import { createServer } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import BuildError from './BuildError.mjs';
import timeouts from './timeouts.mjs';

const RETRY_MS = 200;
const HELD = 'EADDRINUSE';

/** Returns an abstract socket name of Linux. The system frees it with the end of its process, so that none is left behind. */
const nameOf = (folder) => {
  const { dev, ino } = statSync(folder);
  return `\0wisteriapath-build-${dev}-${ino}`;
};

/** Resolves to a server that holds the name, or to the code of the error. */
const tryToHold = (name) =>
  new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', ({ code }) => resolve({ code }));
    server.listen(name, () => resolve({ server }));
  });

/** Resolves as above once no other build holds the name; says so if it waits. */
const hold = async (name) => {
  const endMs = Date.now() + timeouts.waitMs;
  let result = await tryToHold(name);
  if (result.code === HELD) console.error('build: waits for another build of this checkout');
  while (result.code === HELD) {
    if (Date.now() > endMs) {
      throw new BuildError('wait', `another build did not end within ${timeouts.waitMs} ms`);
    }
    await setTimeout(RETRY_MS);
    result = await tryToHold(name);
  }
  return result;
};

/**
 * Resolves once no other build works in this checkout, and this one has ended.
 *
 * @example
 * await buildTurn('.', buildProgram);
 *
 * @param folder The root of the checkout.
 * @param act The build.
 * @throws BuildError if another build does not end in time.
 */
const buildTurn = async (folder, act) => {
  const { server, code } = await hold(nameOf(folder));
  if (code !== undefined) console.error(`build: goes on beside other builds, if any: ${code}`);
  try {
    await act();
  } finally {
    server?.close();
  }
};

export default buildTurn;
