import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { loopbackSettings } from '@wisteriapath/standins';
import { request } from 'undici';
import OperatorClient from '../../src/OperatorClient';
import spawnNode from './spawnNode';

const CLI = join(__dirname, '../../dist/main.js');
const STANDIN = join(__dirname, '../../../standins/dist/main.js');
const TOKEN = 'operator-token';
const TEST_SETTINGS = {
  placement: { poll_interval_ms: 100 },
  shutdown: { balancer_lag_ms: 200 },
};

type TestProcess = ReturnType<typeof spawnNode>;

interface Standin {
  readonly url: string;
  readonly process: TestProcess;
}

interface Instance {
  readonly name: string;
  readonly failureDomain: string;
  readonly process: TestProcess;
  readonly callersUrl: string;
  readonly peerAddress: string;
  readonly operator: OperatorClient;
}

interface InstanceOptions {
  readonly name: string;
  readonly failureDomain: string;
  /** A fixed port for peers, so that a restarted instance has the same address. */
  readonly peerPort?: number;
  /** Settings beyond those of all tests, by section. */
  readonly settings?: Readonly<Record<string, Readonly<Record<string, string | number>>>>;
}

/** A system of separate processes on the loopback address. */
class ProcessSystem {
  private readonly directory = mkdtempSync(join(tmpdir(), 'wisteriapath-test-'));

  private readonly processes: TestProcess[] = [];

  private constructor(
    readonly log: Standin,
    readonly instanceList: Standin,
    private readonly domains: readonly string[],
  ) {}

  static async start(domains: readonly string[], logOptions: object = {}): Promise<ProcessSystem> {
    const [log, instanceList] = await Promise.all([
      ProcessSystem.spawnStandin('log', logOptions),
      ProcessSystem.spawnStandin('instances', {}),
    ]);
    const system = new ProcessSystem(log, instanceList, domains);
    system.processes.push(log.process, instanceList.process);
    return system;
  }

  async standin(kind: string, options: object = {}): Promise<Standin> {
    const standin = await ProcessSystem.spawnStandin(kind, options);
    this.processes.push(standin.process);
    return standin;
  }

  async instance(options: InstanceOptions): Promise<Instance> {
    const { name, failureDomain } = options;
    const file = join(this.directory, `${name}.ini`);
    writeFileSync(file, this.settingsText(options));
    const process = spawnNode(CLI, ['serve', '--config', file]);
    this.processes.push(process);
    const [, callersUrl, operatorsUrl, peerAddress] = await process.waitFor(
      /callers=(\S+) operators=(\S+) peers=(\S+) event=started/,
    );
    const operator = new OperatorClient(operatorsUrl, TOKEN);
    await this.registerInstance(name, failureDomain, peerAddress);
    return { name, failureDomain, process, callersUrl, peerAddress, operator };
  }

  async registerInstance(name: string, failureDomain: string, peerAddress: string): Promise<void> {
    const body = JSON.stringify({ failureDomain, peerAddress });
    const response = await request(`${this.instanceList.url}/instances/${name}`, {
      method: 'PUT',
      body,
    });
    await response.body.dump();
  }

  /** Kills every process of the system. */
  async stop(): Promise<void> {
    this.processes.forEach((process) => process.signal('SIGKILL'));
    await Promise.all(this.processes.map((process) => process.exited));
    rmSync(this.directory, { recursive: true });
  }

  private settingsText({ name, failureDomain, peerPort, settings }: InstanceOptions): string {
    return loopbackSettings({
      name,
      failureDomain,
      failureDomains: this.domains,
      logUrl: this.log.url,
      instanceListUrl: this.instanceList.url,
      operatorToken: TOKEN,
      peerPort,
      sections: { ...TEST_SETTINGS, ...settings },
    });
  }

  private static async spawnStandin(kind: string, options: object): Promise<Standin> {
    const process = spawnNode(STANDIN, [kind, '--options', JSON.stringify(options)]);
    const [, url] = await process.waitFor(/ready (\S+)/);
    return { url, process };
  }
}

export default ProcessSystem;
