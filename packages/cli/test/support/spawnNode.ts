import { spawn, type ChildProcess } from 'node:child_process';

/** A child process of a test. */
interface TestProcess {
  readonly child: ChildProcess;
  /** Everything it printed so far. */
  output(): string;
  /** Resolves with the first match in its output. */
  waitFor(pattern: RegExp): Promise<RegExpExecArray>;
  signal(name: NodeJS.Signals): void;
  /** Resolves with its exit code, `null` if a signal ended it. */
  exited: Promise<number | null>;
}

const POLL_MS = 20;
const START_TIMEOUT_MS = 20_000;

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
    const giveUpAt = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const match = pattern.exec(text);
      if (match !== null) return match;
      if (Date.now() > giveUpAt) throw new Error(`${script} did not print ${pattern}: ${text}`);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
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
