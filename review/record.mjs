/** Writes what a script saw to `record.txt` in its folder, and ends the script with its verdict. */
import { writeFileSync } from 'node:fs';
import process from 'node:process';

const BROKEN = 1;
const HELD = 0;
const COULD_NOT_RUN = 2;

/**
 * Runs a script: `body({ say, hasTrouble, onEnd })` returns whether the rule was broken. Everything registered with
 * `onEnd` is run before the process ends, last first.
 */
const runScript = async (path, body) => {
  const lines = [];
  const startedMs = Date.now();
  const cleanups = [];
  const say = (text) => {
    lines.push(`${((Date.now() - startedMs) / 1_000).toFixed(3).padStart(8)} ${text}`);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  say(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  let code = COULD_NOT_RUN;
  const finish = async () => {
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch (error) {
        say(`cleanup failed: ${error.message}`);
      }
    }
    writeFileSync(path, `${lines.join('\n')}\n`);
    process.exit(code);
  };
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, finish));
  try {
    const isBroken = await body({ say, hasTrouble, onEnd: (cleanup) => cleanups.push(cleanup) });
    code = isBroken ? BROKEN : HELD;
    say(isBroken ? 'RULE BROKEN' : 'rule held');
  } catch (error) {
    say(`could not run: ${error.stack}`);
  }
  await finish();
};

export default runScript;
