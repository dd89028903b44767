/** A worker thread that sends load to engines or instances and posts the measured figures. */
import { parentPort } from 'node:worker_threads';
import { build, type Histogram } from 'hdr-histogram-js';
import { systemClock } from '@wisteriapath/model';
import { Agent, request } from 'undici';
import type LoadFigures from './LoadFigures';
import type LoadRun from './LoadRun';

const MICROS_PER_MS = 1_000;
const OK = 200;
/** Time over which the start of callers is spread, so that their requests are not synchronized. */
const START_SPREAD_MS = 1_000;
const agent = new Agent({ connections: 512 });

const percentilesMs = (histogram: Histogram) => ({
  p50: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
  p95: histogram.getValueAtPercentile(95) / MICROS_PER_MS,
});

const record = (histogram: Histogram, sinceMs: number): void => {
  histogram.recordValue(Math.round((systemClock.nowMs() - sinceMs) * MICROS_PER_MS));
};

const runLoad = async (run: LoadRun): Promise<LoadFigures> => {
  const firstByte = build();
  const gaps = build();
  const totals = { answered: 0, failed: 0 };
  const measureFromMs = systemClock.nowMs() + run.warmUpMs;
  const untilMs = measureFromMs + run.durationMs;
  const bodies = run.models.map((model) =>
    JSON.stringify({ model, prompt: 'a dented rim', max_tokens: run.tokens, stream: true }),
  );
  const sendRequest = async (caller: number): Promise<void> => {
    let sinceMs = systemClock.nowMs();
    let isFirstChunk = true;
    const isMeasured = sinceMs >= measureFromMs;
    const response = await request(`${run.urls[caller % run.urls.length]}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { authorization: `Bearer ${run.secret}` },
      body: bodies[caller % bodies.length],
    });
    for await (const chunk of response.body) {
      if ((chunk as Buffer).includes('"text"')) {
        if (isMeasured) record(isFirstChunk ? firstByte : gaps, sinceMs);
        sinceMs = systemClock.nowMs();
        isFirstChunk = false;
      }
    }
    if (response.statusCode !== OK) totals.failed += 1;
    else if (isMeasured) totals.answered += 1;
  };
  const runCaller = async (_unused: unknown, caller: number): Promise<void> => {
    await systemClock.sleep((caller / run.callers) * START_SPREAD_MS);
    while (systemClock.nowMs() < untilMs) {
      await sendRequest(caller).catch(() => {
        totals.failed += 1;
      });
    }
  };
  await Promise.all(Array.from({ length: run.callers }, runCaller));
  return { ...totals, firstByteMs: percentilesMs(firstByte), gapMs: percentilesMs(gaps) };
};

parentPort!.on('message', (run: LoadRun) => {
  void runLoad(run).then((figures) => parentPort!.postMessage(figures));
});
