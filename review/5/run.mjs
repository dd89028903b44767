/** The process is killed in the middle of streams that end with their connection: what their callers see looks whole. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { fileURLToPath, URL } from 'node:url';
import { attemptId, isReady } from '../client.mjs';
import desiredState from '../desired.mjs';
import Engine from '../engine.mjs';
import { freeNetwork, Machines, sleep } from '../machines.mjs';
import runScript from '../record.mjs';
import Store from '../store.mjs';

const ZONE = 'khomas-a';
const CALLERS = 8;
const EVENTS = 40;
const GAP_MS = 50;
const KILLED_AFTER_MS = 1_000;

/** Takes a stream until its connection ends; tells how it ended and which events it brought. */
const takeStream = ({ host, port }, path, id) =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const chunks = [];
    let hasEnded = false;
    let error = '';
    socket.on('connect', () => {
      socket.write(
        `POST ${path} HTTP/1.1\r\nHost: cups.example\r\nAttempt-Id: ${id}\r\nModel: cup\r\n` +
          'Token-Usage: 700,280\r\nPrompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\nDeadline-Ms: 10000\r\n' +
          'X-Api-Key: key-1\r\nContent-Length: 6\r\n\r\na dent',
      );
    });
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('end', () => {
      hasEnded = true;
    });
    socket.on('error', ({ code }) => {
      error = code;
    });
    socket.on('close', () => {
      const text = Buffer.concat(chunks).toString();
      const [head, ...rest] = text.split('\r\n\r\n');
      const body = rest.join('\r\n\r\n');
      const isFramed = /^(content-length|transfer-encoding):/im.test(head);
      const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
      // Without a length and chunks, a connection that ends in order between two events ends the stream.
      const looksWhole = hasEnded && error === '' && !isFramed && body.endsWith('\n\n');
      resolve({
        id,
        status: Number(head.split(' ')[1]),
        last: events.at(-1) ?? 0,
        looksWhole,
        error,
      });
    });
  });

await runScript(fileURLToPath(new URL('record.txt', import.meta.url)), async (run) => {
  const { say, hasTrouble, onEnd } = run;
  const store = new Store();
  onEnd(() => store.close());
  const models = [{ name: 'cup', weights_mb: 72_700, load_s: 6, adapters: 0, adapter_mb: 66 }];
  store.write('keyed.op', 'config', JSON.stringify(desiredState({ models })));
  const engine = new Engine({
    store,
    id: 'i-cup-1',
    service: 'guides',
    zone: ZONE,
    slots: 64,
    model: 'cup',
    events: EVENTS,
    pauseMs: () => GAP_MS,
    isFramed: false,
    onEvent: (id, event) => say(`engine sends event ${event} of ${id}`),
  });
  await engine.start();
  onEnd(() => engine.stop());
  const network = await freeNetwork();
  const machines = new Machines({ store, network, zones: [ZONE], seeds: [`${network}.11`] });
  onEnd(() => machines.stop());
  const machine = await machines.start('edge-a-1', { zone: ZONE, octet: 11 });
  await machines.awaitReady(isReady);
  say('ready');
  await sleep(5_000);
  const streams = Array.from({ length: CALLERS }, () =>
    takeStream(machine.frontend, '/guide/1', attemptId()),
  );
  await sleep(KILLED_AFTER_MS);
  if (hasTrouble) {
    say('SIGKILL');
    machine.child.kill('SIGKILL');
  }
  let broken = 0;
  let begun = 0;
  for (const { id, status, last, looksWhole, error } of await Promise.all(streams)) {
    const seen = looksWhole ? 'ends as if whole' : 'shows that it was broken off';
    say(`caller of ${id}: status ${status}, events 1 to ${last} of ${EVENTS}, ${seen} ${error}`);
    if (last > 0) begun += 1;
    if (looksWhole && last < EVENTS) broken += 1;
  }
  say(`${broken} of ${CALLERS} streams ended as complete before their last piece`);
  if (begun < CALLERS) throw new Error('not all streams began');
  return broken > 0;
});
