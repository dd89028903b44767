/** The log of a process keeps its lines whole and in order, bounded, and blocks nothing, whatever its output is. */
import { type ChildProcess, spawn, spawnSync, type StdioOptions } from 'node:child_process';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readFileSync,
  readSync,
  rmSync,
  writeSync,
} from 'node:fs';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import LineLog from '../src/LineLog';
import type LogOutput from '../src/LogOutput';
import NonBlockingOutput from '../src/NonBlockingOutput';
import openLogOutput from '../src/openLogOutput';
import PoolOutput from '../src/PoolOutput';
import SocketOutput from '../src/SocketOutput';
import SlowOutput from './support/SlowOutput';

const LIMIT_MS = 10_000;
const CHUNK_BYTES = 4_096;
const LINE_INTERVAL_MS = 1;
const LINES_MS = 30;
const POLL_INTERVAL_MS = 20;
const WRITE_MS = 10;
/** Number of processes that are ended, as not each of them is met in a write. */
const ENDS = 6;
/** Time for which the log tries to write what it has where there is no room. */
const CLOSE_LIMIT_MS = 200;
const NO_FOLDER = '/nowhere';
const COMPILED = join(__dirname, '../dist');

const sleep = (durationMs: number) =>
  new Promise<'late'>((resolve) => {
    setTimeout(resolve, durationMs, 'late');
  });

/** Takes a few bytes of each write, and none of each tenth. */
class NarrowOutput implements LogOutput {
  text = '';

  private writes = 0;

  write(bytes: Buffer, done: (error: Error | null, writtenBytes: number) => void): void {
    this.writes += 1;
    const taken = this.writes % 10 === 0 ? 0 : Math.min(bytes.length, 1 + (this.writes % 100));
    this.text += bytes.toString('latin1', 0, taken);
    done(null, taken);
  }
}

const fill = (descriptor: number) => {
  try {
    for (;;) writeSync(descriptor, Buffer.alloc(CHUNK_BYTES, '.'));
  } catch {
    // The pipe is full.
  }
};

describe('the log of a process', () => {
  let folder: string;
  let path: string;
  let reader: number;
  const children = new Set<ChildProcess>();
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'log-'));
    path = join(folder, 'pipe');
    spawnSync('mkfifo', [path]);
    reader = openSync(path, constants.O_RDWR + constants.O_NONBLOCK);
  });
  afterEach(() => {
    children.forEach((child) => child.kill('SIGKILL'));
    children.clear();
    closeSync(reader);
    rmSync(folder, { recursive: true });
  });

  const readAll = (): string => {
    let text = '';
    const bytes = Buffer.alloc(CHUNK_BYTES);
    try {
      for (;;) text += bytes.toString('latin1', 0, readSync(reader, bytes));
    } catch {
      return text;
    }
  };

  const runWith = async (script: string, stdio: (pipe: number) => StdioOptions) => {
    const output = openSync(path, constants.O_WRONLY);
    const child = spawn(process.execPath, ['-e', script], { stdio: stdio(output) });
    children.add(child);
    closeSync(output);
    const [code, signal] = (await Promise.race([once(child, 'exit'), sleep(LIMIT_MS)])) as [
      number | null,
      NodeJS.Signals | null,
    ];
    return { code, signal };
  };

  /** Runs a script whose standard output is the pipe; returns how it ended, or 'late'. */
  const run = (script: string) => runWith(script, (pipe) => ['ignore', pipe, 'inherit']);

  /** Runs a script whose standard error is the pipe. */
  const runOnError = (script: string) => runWith(script, (pipe) => ['ignore', 'inherit', pipe]);

  test('is closed though lines go on to come, with all that came before and no write in progress', async () => {
    const output = new SlowOutput();
    const log = new LineLog('one', output);
    let lines = 0;
    const timer = setInterval(() => {
      lines += 1;
      log.event('line', { number: lines });
    }, LINE_INTERVAL_MS);
    try {
      await sleep(LINES_MS);
      const last = lines;
      await log.close();
      expect(output.isWriting).toBe(false);
      expect(output.text).toContain(`number=${last}\n`);
      expect(output.text).not.toContain(`number=${lines}\n`);
    } finally {
      clearInterval(timer);
    }
  });

  test('keeps its lines whole and in order where only parts of them are taken', async () => {
    const output = new NarrowOutput();
    const log = new LineLog('one', output);
    for (let count = 0; count < 20; count += 1) log.event('tested', { count });
    while (!output.text.includes('count=19\n')) await sleep(POLL_INTERVAL_MS);
    await log.close();
    const lines = output.text.trimEnd().split('\n');
    expect(
      lines.map((line) => /^time=\S+ instance=one event=tested (\S+)$/.exec(line)?.[1]),
    ).toEqual(Array.from({ length: 20 }, (_, count) => `count=${count}`));
  });

  test('keeps a bounded part of its lines while there is no room, and counts the others', async () => {
    const output = openLogOutput(openSync(path, constants.O_WRONLY));
    fill(reader);
    const log = new LineLog('one', output);
    const events = 10_000;
    for (let count = 0; count < events; count += 1) log.event('tested', { count });
    let text = '';
    const endMs = performance.now() + LIMIT_MS;
    while (!text.includes('event=lines_left_out') && performance.now() < endMs) {
      await sleep(POLL_INTERVAL_MS);
      text += readAll();
    }
    await log.close();
    const kept = text.match(/event=tested/g)!.length;
    const leftOut = Number(/event=lines_left_out count=(\d+)/.exec(text)?.[1]);
    expect(kept + leftOut).toBe(events);
    expect(text.length).toBeLessThan(400_000);
  });

  test('does not wait at its end for lines that go on coming', async () => {
    const texts: string[] = [];
    const log = new LineLog('one', {
      write: (bytes, done) => {
        texts.push(bytes.toString());
        setTimeout(done, WRITE_MS, null, bytes.length);
      },
    });
    log.event('before', {});
    const more = setInterval(() => log.event('meanwhile', {}), 1);
    const startMs = performance.now();
    await log.close();
    const tookMs = performance.now() - startMs;
    clearInterval(more);
    expect(texts.join('')).toContain('event=before');
    expect(tookMs).toBeLessThan(CLOSE_LIMIT_MS / 2);
  });

  test.each([
    { what: 'is given up by its limit', holdsExit: false, isWritten: false },
    { what: 'is awaited where it holds the exit', holdsExit: true, isWritten: true },
  ])('a write in progress $what', async ({ holdsExit, isWritten }) => {
    const output = Object.assign(new SlowOutput(), { holdsExit });
    const log = new LineLog('one', output);
    log.event('tested', {});
    await log.close(performance.now());
    expect(output.text !== '').toBe(isWritten);
    while (output.isWriting) await sleep(POLL_INTERVAL_MS);
  });

  test('is closed by its limit where there is no room', async () => {
    const output = openLogOutput(openSync(path, constants.O_WRONLY));
    fill(reader);
    const log = new LineLog('one', output);
    log.event('tested', {});
    const startMs = performance.now();
    await log.close(startMs + CLOSE_LIMIT_MS / 10);
    expect(performance.now() - startMs).toBeLessThan(CLOSE_LIMIT_MS / 2);
  });

  test('opens a pipe again, and uses it as a socket where it cannot', () => {
    const descriptor = openSync(path, constants.O_WRONLY);
    expect(openLogOutput(descriptor)).toBeInstanceOf(NonBlockingOutput);
    expect(openLogOutput(descriptor, NO_FOLDER)).toBeInstanceOf(SocketOutput);
    expect(openLogOutput(openSync('/dev/null', 'w'))).toBeInstanceOf(NonBlockingOutput);
    expect(openLogOutput(openSync(join(folder, 'file'), 'w'))).toBeInstanceOf(PoolOutput);
  });

  test('that goes to a file lets a process that stood still at its end exit in order', async () => {
    const script = `
      process.chdir(${JSON.stringify(COMPILED)});
      const load = require('node:module').createRequire(process.cwd() + '/main.js');
      const output = load('./openLogOutput').default(require('node:fs').openSync('${join(folder, 'log')}', 'w'));
      const log = new (load('./LineLog').default)('one', output);
      log.event('tested', {});
      log.close().then(() => process.exit(0));
      const endMs = performance.now() + 500;
      while (performance.now() < endMs);`;
    expect(await run(script)).toEqual({ code: 0, signal: null });
    expect(readFileSync(join(folder, 'log'), 'utf8')).toContain('event=tested');
  });

  test('finds room for the last error of a process that stood still meanwhile', async () => {
    fill(reader);
    // The room comes a little after the process has stood still for longer than it may try.
    const script = `
      process.chdir(${JSON.stringify(COMPILED)});
      const load = require('node:module').createRequire(process.cwd() + '/main.js');
      const { closeSync, constants, openSync, readSync } = require('node:fs');
      load('./writeError').default('the last error').then(() => process.exit(0));
      const makeRoom = () => {
        const reader = openSync('${path}', constants.O_RDONLY + constants.O_NONBLOCK);
        readSync(reader, Buffer.alloc(${2 * CHUNK_BYTES}));
        closeSync(reader);
      };
      setTimeout(() => {
        const endMs = performance.now() + 600;
        while (performance.now() < endMs);
        setTimeout(makeRoom, 60);
      }, 20);`;
    expect(await runOnError(script)).toEqual({ code: 0, signal: null });
    expect(readAll().endsWith('the last error')).toBe(true);
  });

  test('that goes to a file lets a process exit in order while lines go on coming', async () => {
    const script = `
      process.chdir(${JSON.stringify(COMPILED)});
      const load = require('node:module').createRequire(process.cwd() + '/main.js');
      const output = load('./openLogOutput').default(require('node:fs').openSync('${join(folder, 'log')}', 'w'));
      const log = new (load('./LineLog').default)('one', output);
      const goOn = () => { log.event('tested', {}); setImmediate(goOn); };
      goOn();
      const end = () => log.close().then(() => process.exit(0));
      setTimeout(() => { end(); end(); }, 120);`;
    const ends = await Promise.all(Array.from({ length: ENDS }, () => run(script)));
    expect(ends).toEqual(Array(ENDS).fill({ code: 0, signal: null }));
  });

  test.each([
    ["require('./openLogOutput').default(1)", { code: 0, signal: null }],
    [`require('./openLogOutput').default(1, '${NO_FOLDER}')`, { code: 0, signal: null }],
    ["new (require('./PoolOutput').default)(1)", { code: null, signal: 'SIGKILL' }],
  ])('that is not read does not keep a process with %s from ending', async (output, end) => {
    fill(reader);
    const script = `
      process.chdir(${JSON.stringify(COMPILED)});
      const load = require('node:module').createRequire(process.cwd() + '/main.js');
      const LineLog = load('./LineLog').default;
      const log = new LineLog('one', ${output.replace('require', 'load')});
      log.event('tested', {});
      log.close().then(() => process.exit(0));`;
    expect(await run(script)).toEqual(end);
  });
});
