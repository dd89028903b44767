/** The desired state withdraws a key while the connections on which instances wait for it have gone silent. */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import call from '../client-2.mjs';
import startLink from '../link-2.mjs';
import startMachines from '../machines-2.mjs';
import startPlain from '../plain-2.mjs';
import openRecord from '../record-2.mjs';
import startStore from '../store-2.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['khomas-a', 'khomas-b', 'khomas-c'];
const STEADY_MS = 5_500;
/** Connections that have carried nothing for so long go silent. */
const IDLE_MS = 5_000;
/** Beyond `contact_ms` (3 s), so that the instances are in touch again. */
const SILENCE_TO_CHANGE_MS = 5_000;
const CONFIG_APPLY_MS = 2_000;
const AFTER_CHANGE_MS = 20_000;
const INTERVAL_MS = 250;
const WITHDRAWN = 'key-of-guest-2';

const desiredState = (version, guestKeys) => ({
  version,
  routes: [
    {
      name: 'r-quote',
      host: 'cups.example',
      path_prefix: '/quote/',
      type: 'safe',
      timeout_ms: 2_000,
      slo_ms: 300,
      priority: 2,
      service: 'workshop-desk',
      attempts: 2,
      public: false,
    },
  ],
  services: [{ name: 'workshop-desk', health_path: '/healthz', max_conns: 100, cold_per_s: 0 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [
    { name: 'club', api_keys: ['key-of-club'], rate_per_s: 0, burst: 0, unit: 'requests' },
    { name: 'guest', api_keys: guestKeys, rate_per_s: 0, burst: 0, unit: 'requests' },
  ],
});

const record = openRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
const store = await startStore();
const links = await Promise.all(ZONES.map(() => startLink(store.port)));
const runs = new Map();
const engines = await Promise.all(
  ZONES.map((zone, number) =>
    startPlain({
      id: `i-desk${number}`,
      service: 'workshop-desk',
      zone,
      store,
      onRun: ({ engine, attempt, tenant }) => {
        runs.set(attempt, record.nowMs());
        record.line('run', { engine, attempt, tenant });
      },
    }),
  ),
);
store.write('keyed.op', 'config', JSON.stringify(desiredState(3, ['key-of-guest-1', WITHDRAWN])));
const places = ZONES.map((zone, number) => ({ zone, storeAddress: links[number].address }));
const system = await startMachines(places, process.env.LOGS);

const finish = async (code, words) => {
  record.line('end', { code, result: JSON.stringify(words) });
  await system?.stop();
  engines.forEach((engine) => engine.close());
  links.forEach((link) => link.close());
  store.close();
  record.close();
  process.stdout.write(`${words}\n`);
  process.exit(code);
};

if (system === undefined) await finish(2, 'the program did not become ready');

const sent = new Map();
const calls = [];
let isOver = false;
const sendOn = async (machine) => {
  while (!isOver) {
    const options = { method: 'GET', path: '/quote/1', headers: { 'X-Api-Key': WITHDRAWN } };
    const { attempt, answer } = call(machine, options);
    sent.set(attempt, { machine: machine.name, atMs: record.nowMs() });
    record.line('sent', { attempt, machine: machine.name });
    calls.push(answer.then(({ status }) => record.line('answered', { attempt, status })));
    await sleep(INTERVAL_MS);
  }
};
const senders = system.machines.map(sendOn);
await sleep(STEADY_MS);
if (HAS_TROUBLE) {
  links.forEach((link, number) => {
    const { silent, open } = link.silenceIdle(IDLE_MS);
    record.line('silenced', { machine: system.machines[number].name, silent, open });
  });
}
await sleep(SILENCE_TO_CHANGE_MS);
store.write('keyed.op', 'config', JSON.stringify(desiredState(5, ['key-of-guest-1'])));
const acknowledgedMs = record.nowMs();
record.line('acknowledged', { version: 5, withdrawn: WITHDRAWN });
await sleep(AFTER_CHANGE_MS);
isOver = true;
await Promise.all(senders);
await Promise.all(calls);

const late = [...sent].filter(
  ([attempt, { atMs }]) => atMs > acknowledgedMs + CONFIG_APPLY_MS && runs.has(attempt),
);
const before = [...sent].filter(
  ([attempt, { atMs }]) => atMs < acknowledgedMs && runs.has(attempt),
);
if (before.length === 0) await finish(2, 'no request was served before the change');
const lastMs = Math.max(0, ...late.map(([, { atMs }]) => atMs - acknowledgedMs));
const by = new Set(late.map(([, { machine }]) => machine));
await finish(
  late.length > 0 ? 1 : 0,
  `${late.length} requests with the withdrawn key ran that were sent later than ${CONFIG_APPLY_MS} ms after the acknowledgement, the last ${lastMs} ms after it, at ${by.size} of ${ZONES.length} instances`,
);
