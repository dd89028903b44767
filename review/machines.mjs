/** Starts the project's program on stand-ins for machines, each with a loopback address and a settings file of its own. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

export const REPOSITORY = fileURLToPath(new URL('..', import.meta.url));

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const PORTS = { frontend: 8_221, readiness: 8_224, control: 8_229 };
const INTERNAL_PORT = 7_600;
/** The port that the deploy file names for metrics. */
const METRICS_PORT = 7_610;

/** The bounds of a small deployment: those of the site omuriro-menders. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  skew_ms: 5000,
  strict_revocation: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  budget_slack: 54,
  quota_window_s: 8,
  quota_overage: 0.1,
  quota_slack: 7400,
  cold_overage: 1.5,
  cold_slack: 5,
  evacuate_ms: 5000,
  recovery_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  fencing_enforced: false,
  lease_ms: 3000,
  thaw_ms: 300,
  ceiling_window_s: 5,
  load_overage: 1.1,
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Returns the prefix of loopback addresses at which all ports of a machine are free. */
export const freeNetwork = async () => {
  for (;;) {
    const octet = () => 1 + Math.floor(Math.random() * 250);
    const prefix = `127.${octet()}.${octet()}`;
    const ports = [METRICS_PORT, INTERNAL_PORT, ...Object.values(PORTS)];
    const free = await Promise.all(ports.map((port) => isFree(`${prefix}.11`, port)));
    if (free.every(Boolean)) return prefix;
  }
};

/** Returns the command of the role in the deploy file, split at spaces as the platform does. */
const roleCommand = () => {
  const deploy = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
};

export const toml = ({ name, ip, zone, zones, ports, internalPort, store, seeds }) =>
  [
    `node_name = "${name}"`,
    'role = "edge"',
    'machine_class = "edge"',
    'serves = ["edge"]',
    `ip = "${ip}"`,
    `zone = "${zone}"`,
    'region = "khomas"',
    `internal_ports = [${internalPort},${internalPort + 15}]`,
    `seed_nodes = [${seeds.map((seed) => `"${seed}:${ports.control}"`).join(',')}]`,
    'bootstrap = true',
    'discovery = "platform"',
    'entrypoint = "vip"',
    'heartbeat_ms = 1200',
    '[zones]',
    ...zones.map((one) => `${one} = "khomas"`),
    '[listen]',
    `frontend = "${ip}:${ports.frontend}"`,
    `readiness = "${ip}:${ports.readiness}"`,
    `control_plane = "${ip}:${ports.control}"`,
    '[limits]',
    'cpu_quota = 0.675',
    'cores = 1',
    'memory_mb = 350',
    'max_fds = 4100',
    'link_mbps = 1000.0',
    'disk_mb = 0',
    '[fault_tolerance]',
    'machines = 1',
    'zones = 1',
    'regions = 0',
    '[bounds]',
    ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
    '[platform]',
    `address = "${store}"`,
    'form = "log"',
    'writes_per_s = 400',
    'reads_per_s = 2000',
    '',
  ].join('\n');

/** The machines of one run. The file that REVIEW_LOGS names, if any, gets what their processes write. */
export class Machines {
  all = new Map();

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  constructor({ store, network, zones, seeds }) {
    Object.assign(this, { store, network, zones, seeds });
  }

  async start(name, { zone, octet, internalPort = INTERNAL_PORT }) {
    const ip = `${this.network}.${octet}`;
    const settings = join(this.folder, `${name}.toml`);
    const store = await this.store.open(name);
    const { zones, seeds } = this;
    const text = toml({ name, ip, zone, zones, ports: PORTS, internalPort, store, seeds });
    writeFileSync(settings, text);
    const machine = { name, ip, zone, settings, child: null, exit: null, log: '' };
    machine.frontend = { host: ip, port: PORTS.frontend };
    this.all.set(name, machine);
    this.spawn(machine);
    return machine;
  }

  spawn(started) {
    const machine = started;
    const [program, ...args] = roleCommand();
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: this.folder, WISTERIAPATH_BOOT: machine.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    machine.exit = null;
    const onOutput = (chunk) => {
      machine.log += chunk;
      if (process.env.REVIEW_LOGS) appendFileSync(process.env.REVIEW_LOGS, chunk);
    };
    child.stdout.on('data', onOutput);
    child.stderr.on('data', onOutput);
    child.on('exit', (code, signal) => {
      if (machine.child === child) machine.exit = { code, signal, atMs: Date.now() };
    });
  }

  /** Waits until all machines say that they are ready; throws after `limitMs`. */
  async awaitReady(isReady, limitMs = 15_000) {
    const untilMs = Date.now() + limitMs;
    for (const machine of this.all.values()) {
      while (!(await isReady(machine.ip, PORTS.readiness))) {
        if (Date.now() > untilMs) throw new Error(`${machine.name} did not get ready`);
        await sleep(100);
      }
    }
  }

  /** Ends all processes that were started, and removes the folder. */
  async stop() {
    for (const { child, exit } of this.all.values()) {
      if (exit === null && child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await ended;
      }
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}
