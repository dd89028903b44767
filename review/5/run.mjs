/** An engine that fails some bookings after it has run them: its 503 says nothing of not having run. */
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { attemptId, call, isReady } from '../client.mjs';
import desiredState from '../desired.mjs';
import { freeNetwork, Machines, sleep } from '../machines.mjs';
import runScript from '../record.mjs';
import Store from '../store.mjs';
import Target from '../target.mjs';

const ZONE = 'khomas-a';
const WORK_MS = 60;
const BOOKINGS = 300;
const BETWEEN_MS = 20;
/** One of seven engines fails two in five bookings. */
const ENGINES = 7;
const FAILING = [2, 4];
const OF = 5;

await runScript(fileURLToPath(new URL('record.txt', import.meta.url)), async (run) => {
  const { say, hasTrouble, onEnd } = run;
  const store = new Store();
  onEnd(() => store.close());
  store.write('keyed.op', 'config', JSON.stringify(desiredState()));
  /** Booked cups, each with the ids of the attempts that booked it. */
  const booked = new Map();
  const startEngine = async (id, isGrey) => {
    let count = 0;
    const target = new Target({
      store,
      id,
      service: 'desk',
      zone: ZONE,
      run: ({ headers, response, body }) => {
        count += 1;
        const fails = isGrey && hasTrouble && FAILING.includes(count % OF);
        booked.set(body, [...(booked.get(body) ?? []), headers['attempt-id']]);
        setTimeout(() => {
          if (fails) say(`engine ${id} has run ${headers['attempt-id']} and fails it with 503`);
          response.writeHead(fails ? 503 : 200).end(fails ? 'no receipt printer' : 'booked');
        }, WORK_MS);
      },
    });
    await target.start();
    onEnd(() => target.stop());
  };
  for (let number = 1; number <= ENGINES; number += 1) {
    await startEngine(`i-desk-${number}`, number === 1);
  }
  const network = await freeNetwork();
  const machines = new Machines({ store, network, zones: [ZONE], seeds: [`${network}.11`] });
  onEnd(() => machines.stop());
  const machine = await machines.start('edge-a-1', { zone: ZONE, octet: 11 });
  await machines.awaitReady(isReady);
  say('ready');
  await sleep(4_000);
  const broken = [];
  /** A requester of an unsafe route repeats it, as another attempt, only after a promise that it has not run. */
  const book = async (cup) => {
    for (let attempt = 1; attempt <= 2; attempt += 1) {
      const id = attemptId();
      const { status } = await call(machine.frontend, { path: '/book/1', body: cup, id });
      const hasRun = (booked.get(cup) ?? []).includes(id);
      if (status !== 200) {
        say(`caller of ${id} (${cup}) gets ${status}; it ${hasRun ? 'has run' : 'has not run'}`);
      }
      if ([408, 421, 429, 503].includes(status) && hasRun) broken.push(id);
      if (![408, 421, 429, 503].includes(status)) return;
    }
  };
  const all = [];
  for (let number = 0; number < BOOKINGS; number += 1) {
    all.push(book(`cup ${number}`));
    await sleep(BETWEEN_MS);
  }
  await Promise.all(all);
  const twice = [...booked].filter(([, ids]) => ids.length > 1).map(([cup]) => cup);
  say(`${broken.length} bookings were answered with a promise that they had not run, and had run`);
  say(`booked twice by callers who trusted it: ${twice.join(', ') || 'none'}`);
  if (booked.size < BOOKINGS) throw new Error('not all bookings reached an engine');
  return broken.length > 0;
});
