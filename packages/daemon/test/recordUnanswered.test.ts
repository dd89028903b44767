/** A response of the own protocol that is broken off has a line and counts; one that its caller leaves first does not. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import Koa from 'koa';
import type { Logger } from 'pino';
import HttpListener from '../src/HttpListener';
import KoaResponseSink from '../src/KoaResponseSink';
import Metrics from '../src/Metrics';
import recordUnanswered from '../src/recordUnanswered';

const PAUSE_MS = 50;

test.each([
  { who: 'the instance', isOwn: true },
  { who: 'its caller', isOwn: false },
])('a response that is broken off by $who', async ({ isOwn }) => {
  const lines: unknown[] = [];
  const logger = {
    warn: ({ tookMs, ...fields }: { tookMs: number }, event: string) => lines.push([event, fields]),
  } as unknown as Logger;
  const metrics = new Metrics();
  let sink: KoaResponseSink | undefined;
  const app = new Koa();
  app.use((context) => {
    sink = new KoaResponseSink(context);
    sink.begin(200, {});
    void sink.write('half');
  });
  const listener = await HttpListener.open('127.0.0.1:0', app.callback(), () => {});
  listener.watchUnanswered(recordUnanswered({ logger, metrics }, () => false));
  const caller = connect(Number(new URL(listener.url).port), '127.0.0.1').on('error', () => {});
  try {
    caller.write('GET /books/1?key=k HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(caller, 'data');
    if (isOwn) sink!.abort();
    else caller.destroy();
    await sleep(PAUSE_MS);
    const { values } = await metrics.unansweredRequests.get();
    expect([...lines, ...values]).toMatchSnapshot();
  } finally {
    caller.destroy();
    listener.destroy();
  }
});
