/** Starts the project's program on stand-in machines: processes at loopback addresses of their own, by the command of the deploy file. */
import { performance } from 'node:perf_hooks';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const PORTS = { frontend: 8221, readiness: 8224, control: 8229, peers: 7600, metrics: 7610 };
const READY_LIMIT_MS = 25_000;

const randomByte = () => 1 + Math.floor(Math.random() * 250);

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer().on('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

const freeHosts = async (count) => {
  const hosts = [];
  while (hosts.length < count) {
    const host = `127.${randomByte()}.${randomByte()}.${10 + hosts.length}`;
    const free = await Promise.all(Object.values(PORTS).map((port) => isFree(host, port)));
    if (free.every(Boolean)) hosts.push(host);
  }
  return hosts;
};

/** The words of the command of the deploy file's only role. */
const commandWords = () => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
};

const settingsText = ({ name, zone, host, seeds, storeAddress, memoryMb = 350, maxFds = 4100 }) => `
node_name = "${name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "${host}"
zone = "${zone}"
region = "khomas"
internal_ports = [${PORTS.peers},${PORTS.peers + 15}]
seed_nodes = [${seeds.map((seed) => `"${seed}:${PORTS.control}"`).join(',')}]
bootstrap = true
fault_counted = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","places","platform"]
[listen]
frontend = "${host}:${PORTS.frontend}"
readiness = "${host}:${PORTS.readiness}"
control_plane = "${host}:${PORTS.control}"
[limits]
cpu_quota = 0.675
cores = 1
memory_mb = ${memoryMb}
max_fds = ${maxFds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 54
cold_overage = 1.5
cold_slack = 5
recovery_s = 12
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
load_overage = 1.1
[platform]
address = "${storeAddress}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
ttl_min_ms = 1000
`;

const statusOf = (host) =>
  new Promise((resolve) => {
    const request = get(
      { host, port: PORTS.readiness, path: '/v1/readyz', agent: false },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      },
    );
    request.on('error', () => resolve(0));
  });

/** Starts a process for each place (`zone`, `storeAddress`); resolves once all are ready, to undefined if one isn't in time. */
const startMachines = async (places, logFolder) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  const hosts = await freeHosts(places.length);
  const [command, ...words] = commandWords();
  const running = new Set();
  process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
  const start = (machine) => {
    const path = join(folder, `${machine.name}.toml`);
    writeFileSync(path, settingsText({ ...machine, seeds: hosts.slice(0, 3) }));
    // The platform limits the descriptors of each process.
    const line = `ulimit -n ${machine.maxFds ?? 4100}; exec "$@"`;
    const child = spawn('/bin/sh', ['-c', line, 'sh', command, ...words], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, WISTERIAPATH_BOOT: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(child);
    const log = createWriteStream(
      logFolder === undefined ? '/dev/null' : join(logFolder, `${machine.name}.log`),
      { flags: 'a' },
    );
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    const ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        running.delete(child);
        resolve({ code, signal });
      });
    });
    return { child, ended };
  };
  const machines = places.map((place, number) => {
    const machine = { ...place, name: `edge-${place.zone}-${number + 1}`, host: hosts[number] };
    const state = start(machine);
    return {
      ...machine,
      port: PORTS.frontend,
      status: () => statusOf(machine.host),
      get pid() {
        return state.child.pid;
      },
      get ended() {
        return state.ended;
      },
      signal: (signal) => state.child.kill(signal),
      startAgain: () => Object.assign(state, start(machine)),
    };
  });
  const stop = async () => {
    running.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(machines.map(({ ended }) => ended));
    rmSync(folder, { recursive: true, force: true });
  };
  const endMs = performance.now() + READY_LIMIT_MS;
  for (;;) {
    const statuses = await Promise.all(machines.map(({ status }) => status()));
    if (statuses.every((status) => status === 200)) return { machines, stop };
    if (performance.now() > endMs) {
      await stop();
      return undefined;
    }
    await sleep(50);
  }
};

export default startMachines;
