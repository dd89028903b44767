import { spawn } from 'node:child_process';
import { join } from 'node:path';
import type CrowdGroup from './CrowdGroup';

interface Crowd {
  readonly isRunning: () => boolean;
  /** Ends the clients and their connections. */
  readonly stop: () => Promise<void>;
}

/** The built file, also where the sources are run. */
const PROGRAM = join(__dirname, '../dist/crowdMain.js');

const running = new Set<() => void>();

process.on('exit', () => running.forEach((kill) => kill()));

/**
 * Starts clients that do not behave, in a process of their own.
 *
 * @example
 * const crowd = startCrowd('127.0.0.1', 8080, [{ clients: 100, head, block, times: 1, stayMs: 20 }]);
 * await crowd.stop();
 */
const startCrowd = (host: string, port: number, groups: readonly CrowdGroup[]): Crowd => {
  const child = spawn(process.execPath, [PROGRAM, host, `${port}`], {
    stdio: ['pipe', 'inherit', 'inherit'],
  });
  // The blocks would be too long for an argument.
  child.stdin.end(JSON.stringify(groups));
  const kill = () => child.kill('SIGKILL');
  running.add(kill);
  const ended = new Promise<void>((resolve) => {
    child.on('exit', () => {
      running.delete(kill);
      resolve();
    });
  });
  return {
    isRunning: () => child.exitCode === null && child.signalCode === null,
    stop: async () => {
      kill();
      await ended;
    },
  };
};

export default startCrowd;
