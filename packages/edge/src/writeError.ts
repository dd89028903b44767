import { setTimeout as sleep } from 'node:timers/promises';
import type LogOutput from './LogOutput';
import openLogOutput from './openLogOutput';

const STDERR = 2;
const TIMEOUT_MS = 200;
const POLL_INTERVAL_MS = 5;

/** Writes bytes; resolves to those that found no room. */
const writeOnce = (output: LogOutput, bytes: Buffer): Promise<Buffer> =>
  new Promise((resolve) => {
    output.write(bytes, (error, writtenBytes) => {
      resolve(bytes.subarray(error === null ? writtenBytes : bytes.length));
    });
  });

const writeAll = async (output: LogOutput, bytes: Buffer, endMs: number): Promise<void> => {
  let rest = await writeOnce(output, bytes);
  while (rest.length > 0 && performance.now() < endMs) {
    await sleep(POLL_INTERVAL_MS);
    rest = await writeOnce(output, rest);
  }
};

/**
 * Writes a text to standard error before the process exits. Resolves once it is written, is lost by an error, or has found no
 * room for 0.2 s; never blocks, as a write by `process.stderr` to a terminal does.
 *
 * @example
 * await writeError('settings file node.toml: not found\n');
 */
const writeError = async (text: string): Promise<void> => {
  const endMs = performance.now() + TIMEOUT_MS;
  const written = writeAll(openLogOutput(STDERR), Buffer.from(text), endMs);
  await Promise.race([written, sleep(TIMEOUT_MS)]);
};

export default writeError;
