/** Runs a program as a step of the build, within a limit of time. */
import { spawn } from 'node:child_process';
import { clearTimeout, setTimeout } from 'node:timers';
import BuildError from './BuildError.mjs';

const END_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'];

/** Returns why a program failed, or undefined if it ended with code 0. */
const failure = (command, timeoutMs, { code, signal, timedOut }) => {
  if (timedOut) return `${command} did not end within ${timeoutMs} ms`;
  if (signal !== null) return `${command} was ended by ${signal}`;
  return code === 0 ? undefined : `${command} ended with code ${code}`;
};

/** Returns the texts that a child process writes, as they come. */
const collect = (child) => {
  const output = { stdout: '', stderr: '' };
  Object.keys(output).forEach((name) => {
    child[name].setEncoding('utf8');
    child[name].on('data', (text) => {
      output[name] += text;
    });
  });
  return output;
};

/** Resolves to how the child ended; ends it after the limit, and with this process. */
const ended = (child, timeoutMs) =>
  new Promise((resolve, reject) => {
    let timedOut = false;
    const passOn = (signal) => {
      child.kill(signal);
      process.removeAllListeners(signal);
      process.kill(process.pid, signal);
    };
    END_SIGNALS.forEach((signal) => process.once(signal, passOn));
    const timer = setTimeout(() => {
      timedOut = true;
      child.kill('SIGKILL');
      // A program that the child started may keep its output open.
      child.stdout.destroy();
      child.stderr.destroy();
    }, timeoutMs);
    child.once('error', reject);
    child.once('close', (code, signal) => {
      clearTimeout(timer);
      END_SIGNALS.forEach((name) => process.removeListener(name, passOn));
      resolve({ code, signal, timedOut });
    });
  });

/**
 * Resolves to the standard output of a program that ended with code 0.
 *
 * @example
 * await runStep('bundle', process.execPath, ['tools/bundle.mjs', outputFile], { timeoutMs: 60_000 });
 *
 * @param step The step of the build, named in errors.
 * @param file The program.
 * @param args Its arguments.
 * @param options `timeoutMs`: the limit; `env`: the environment, by default that of this process;
 * `name`: that of the command in errors, by default with all arguments; `reasonIn`: returns the reason in the output of a program that failed.
 * @throws BuildError if the program cannot be started, fails or takes longer; its standard error is passed on before.
 */
const runStep = async (step, file, args, { timeoutMs, env = process.env, reasonIn, name }) => {
  const command = name ?? [file === process.execPath ? 'node' : file, ...args].join(' ');
  const child = spawn(file, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
  const output = collect(child);
  const end = await ended(child, timeoutMs).catch((error) => {
    throw new BuildError(step, `${command} cannot be started: ${error.code} (PATH=${env.PATH})`);
  });
  const problem = failure(command, timeoutMs, end);
  if (problem === undefined) return output.stdout;
  const text = output.stderr.trimEnd();
  if (text !== '') console.error(text);
  const reason = reasonIn(text);
  throw new BuildError(step, reason === '' ? problem : `${problem}: ${reason}`);
};

export default runStep;
