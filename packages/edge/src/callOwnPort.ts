import { setTimeout as sleep } from 'node:timers/promises';
import { type Dispatcher, request } from 'undici';
import { createTrackedAgent } from '@wisteriapath/response-ends';
import SelfCheckError from './SelfCheckError';
import afterRunningTime from './afterRunningTime';

/** Time, in which this process could run, after which no answer is taken for a lack that stays. */
const TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 500;
const RETRY_INTERVAL_MS = 200;
const CLIENT_OPTIONS = {
  connectTimeoutMs: CONNECT_TIMEOUT_MS,
  connections: null,
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Sends one request; returns the error if no response came. */
const callOnce = async (
  address: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<Error | undefined> => {
  try {
    const { body } = await request(`http://${address}/`, { dispatcher, signal });
    await body.dump();
    return undefined;
  } catch (error) {
    return error as Error;
  }
};

/**
 * Calls a port of this process with the HTTP client that targets are called with, until any response comes or `isOver` returns
 * true. Shows that the process can serve: that it is reached at its address, and that its client works. Rejects with a
 * `SelfCheckError` if no response came in 5 s in which the process could run.
 *
 * @example
 * await callOwnPort('10.1.0.25:8224', () => isStopping);
 */
const callOwnPort = async (address: string, isOver: () => boolean): Promise<void> => {
  const agent = createTrackedAgent(CLIENT_OPTIONS);
  const late = new AbortController();
  const cancel = afterRunningTime(TIMEOUT_MS, () => late.abort(new Error('no response in time')));
  let lastError: Error | undefined;
  try {
    while (!isOver()) {
      const error = await callOnce(address, agent, late.signal);
      if (error === undefined) return;
      // What the client met before it was given up says more than that it was.
      lastError = late.signal.aborted ? (lastError ?? error) : error;
      if (late.signal.aborted && !isOver()) throw new SelfCheckError(address, lastError);
      await sleep(RETRY_INTERVAL_MS);
    }
  } finally {
    cancel();
    await agent.destroy();
  }
};

export default callOwnPort;
