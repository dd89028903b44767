import type LogOptions from './LogOptions';
import LogStream from './LogStream';
import type RunningStandin from './RunningStandin';
import readJson from './readJson';
import startStandin from './startStandin';

const DEFAULT_APPENDS_PER_S = 300;
const DEFAULT_RETENTION_MS = 7 * 86_400_000;
const TOO_MANY_REQUESTS = 429;
const SECOND_MS = 1_000;

/**
 * Starts the log stand-in: streams with offsets, a retention time and a limit on the rate of
 * appends.
 *
 * @example
 * const log = await startLog({ appendsPerS: 300 });
 */
const startLog = ({
  port = 0,
  appendsPerS = DEFAULT_APPENDS_PER_S,
  retentionMs = DEFAULT_RETENTION_MS,
}: LogOptions = {}): Promise<RunningStandin> => {
  const streams = new Map<string, LogStream>();
  const counts = { appends: 0, refusedAppends: 0, appendedBytes: 0, reads: 0 };
  let recentAppendsMs: number[] = [];

  const streamOf = (name: string): LogStream => {
    const stream = streams.get(name) ?? new LogStream(retentionMs);
    streams.set(name, stream);
    return stream;
  };

  const tryAcquireAppend = (): boolean => {
    const nowMs = Date.now();
    recentAppendsMs = recentAppendsMs.filter((atMs) => atMs > nowMs - SECOND_MS);
    if (recentAppendsMs.length >= appendsPerS) return false;
    recentAppendsMs.push(nowMs);
    return true;
  };

  return startStandin({
    port,
    state: () => ({ ...counts, streams: [...streams.keys()] }),
    onFault: (fault) => {
      if (fault.expire === true) streams.forEach((stream) => stream.expireAll());
    },
    routes: (router) => {
      router.post('/streams/:name/records', async (context) => {
        if (!tryAcquireAppend()) {
          counts.refusedAppends += 1;
          context.status = TOO_MANY_REQUESTS;
          return;
        }
        const { payloads } = await readJson<{ payloads: string[] }>(context);
        counts.appends += 1;
        counts.appendedBytes += payloads.join('').length;
        context.body = { firstOffset: streamOf(context.params.name).append(payloads) };
      });
      router.get('/streams/:name/records', async (context) => {
        counts.reads += 1;
        const stream = streamOf(context.params.name);
        const from = Number(context.query.from ?? 0);
        await stream.waitFor(from, Number(context.query.waitMs ?? 0));
        context.body = stream.read(from);
      });
    },
  });
};

export default startLog;
