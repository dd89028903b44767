import { spawn, type ChildProcess } from 'node:child_process';

/** A Node.js child process of a test. */
interface TestProcess {
  readonly child: ChildProcess;
  /** Returns what it has printed so far, standard output and standard error together. */
  output(): string;
  /** Resolves with the first match in its output; throws if there is none within 20 s. */
  waitFor(pattern: RegExp): Promise<RegExpExecArray>;
  signal(name: NodeJS.Signals): void;
  /** Resolves with its exit code, `null` if a signal ended it. */
  exited: Promise<number | null>;
}

const POLL_INTERVAL_MS = 20;
const OUTPUT_TIMEOUT_MS = 20_000;

/** Starts a Node.js script as a child process. */
const spawnNode = (script: string, args: readonly string[]): TestProcess => {
  const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const exited = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => resolve(code));
  });
  const waitFor = async (pattern: RegExp) => {
    const deadlineMs = Date.now() + OUTPUT_TIMEOUT_MS;
    for (;;) {
      const match = pattern.exec(text);
      if (match !== null) return match;
      if (Date.now() > deadlineMs) throw new Error(`${script} did not print ${pattern}: ${text}`);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  };
  return {
    child,
    output: () => text,
    waitFor,
    exited,
    signal: (name) => {
      child.kill(name);
    },
  };
};

export default spawnNode;
