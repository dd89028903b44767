/** Planned stop of a machine while a caller on a slow link still receives a long answer that the engine has finished. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { attemptId, isReady, parseAnswer } from '../client.mjs';
import desiredState from '../desired.mjs';
import { freeNetwork, Machines, sleep } from '../machines.mjs';
import runScript from '../record.mjs';
import Store from '../store.mjs';
import Target from '../target.mjs';

const ZONE = 'khomas-a';
const CALLERS = 3;
const ANSWER_BYTES = 7_900_000;
/** What the link of each caller carries: 9 Mbit/s, as small machines of our deployments have. */
const BYTES_PER_S = 1_100_000;
const TICK_MS = 20;

/** Sends a request and takes the answer at the speed of a slow link. */
const callSlowly = ({ host, port }, path, id) =>
  new Promise((resolve) => {
    const socket = connect({ host, port, highWaterMark: 16_384 });
    const chunks = [];
    let size = 0;
    let error = '';
    let credit = 0;
    const startedMs = Date.now();
    const finish = () => {
      socket.destroy();
      resolve({ id, size, error, endedMs: Date.now(), ...parseAnswer(Buffer.concat(chunks)) });
    };
    socket.on('connect', () => {
      socket.write(
        `POST ${path} HTTP/1.1\r\nHost: cups.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 10000\r\n` +
          'X-Api-Key: key-1\r\nContent-Length: 7\r\n\r\none cup',
      );
    });
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      size += chunk.length;
      credit = size - ((Date.now() - startedMs) / 1_000) * BYTES_PER_S;
      if (size >= ANSWER_BYTES && parseAnswer(Buffer.concat(chunks)).isComplete) finish();
      else if (credit > 0) {
        socket.pause();
        setTimeout(() => socket.resume(), Math.max(TICK_MS, (credit / BYTES_PER_S) * 1_000));
      }
    });
    socket.on('error', ({ code }) => {
      error = code;
    });
    socket.on('close', finish);
  });

await runScript(fileURLToPath(new URL('record.txt', import.meta.url)), async (run) => {
  const { say, hasTrouble, onEnd } = run;
  const store = new Store();
  onEnd(() => store.close());
  store.write('keyed.op', 'config', JSON.stringify(desiredState()));
  const answeredMs = new Map();
  const body = Buffer.alloc(ANSWER_BYTES, 'booked ');
  const desk = new Target({
    store,
    id: 'i-desk-1',
    service: 'desk',
    zone: ZONE,
    run: ({ headers, response }) => {
      response.writeHead(200, { 'content-length': String(body.length) });
      response.end(body, () => {
        answeredMs.set(headers['attempt-id'], Date.now());
        say(`engine has answered ${headers['attempt-id']}`);
      });
    },
  });
  await desk.start();
  onEnd(() => desk.stop());
  const network = await freeNetwork();
  const machines = new Machines({ store, network, zones: [ZONE], seeds: [`${network}.11`] });
  onEnd(() => machines.stop());
  const machine = await machines.start('edge-a-1', { zone: ZONE, octet: 11 });
  await machines.awaitReady(isReady);
  say('ready');
  await sleep(4_000);
  const startedMs = Date.now();
  const answers = Array.from({ length: CALLERS }, () =>
    callSlowly(machine.frontend, '/book/1', attemptId()),
  );
  await sleep(200);
  if (hasTrouble) {
    say('SIGTERM');
    machine.child.kill('SIGTERM');
  }
  const stoppedMs = Date.now();
  let lost = 0;
  for (const answer of await Promise.all(answers)) {
    const { id, status, isComplete, error, endedMs, size } = answer;
    say(
      `caller of ${id}: status ${status}, complete ${isComplete}, ${size} bytes ${error}, ` +
        `${endedMs - startedMs} ms after the request, ${endedMs - stoppedMs} ms after SIGTERM`,
    );
    if (answeredMs.has(id) && !isComplete) lost += 1;
  }
  say(`${answeredMs.size} bookings answered by the engine, ${lost} answers cut off`);
  if (answeredMs.size < CALLERS) throw new Error('not all bookings were answered');
  return lost > 0;
});
